package org.wagtailcart.entry.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptStarted;

class AttemptResponseValidatorTest {
    /** Guards against a part of a body that is passed on after a missing one. */
    @Test
    void aChunkAfterAGapIsRefusedAtOnce() {
        AttemptResponseValidator check = new AttemptResponseValidator("a");
        check.validate(new AttemptStarted("a", 200, List.of()));
        check.validate(new AttemptChunk("a", 0, new byte[1]));
        WagtailcartException error =
                assertThrows(WagtailcartException.class, () -> check.validate(new AttemptChunk("a", 2, new byte[1])));
        assertThat(error.code()).isEqualTo(ResultCode.STREAM_INCOMPLETE);
    }
}
