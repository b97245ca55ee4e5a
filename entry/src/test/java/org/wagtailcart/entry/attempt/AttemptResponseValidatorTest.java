package org.wagtailcart.entry.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptStarted;

/** Guards against an incomplete response of an attempt that is accepted. */
class AttemptResponseValidatorTest {
    /** Guards against a chunk that is forwarded although the chunk before it is missing. */
    @Test
    void chunkAfterGapIsRejected() {
        AttemptResponseValidator validator = new AttemptResponseValidator("a");
        validator.validate(new AttemptStarted("a", 200, List.of()));
        validator.validate(new AttemptChunk("a", 0, new byte[1]));
        WagtailcartException error = assertThrows(
                WagtailcartException.class, () -> validator.validate(new AttemptChunk("a", 2, new byte[1])));
        assertThat(error.code()).isEqualTo(ResultCode.STREAM_INCOMPLETE);
    }
}
