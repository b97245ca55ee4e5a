package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a log record that ends the writer thread, after which the process logs nothing. */
class JsonLineHandlerTest {
    /** Failure of formatting a record. */
    private enum FormatFailure {
        EXCEPTION {
            @Override
            String message() {
                throw new IllegalStateException("cannot be formatted");
            }
        },
        STACK_OVERFLOW {
            @Override
            String message() {
                throw new StackOverflowError("cannot be formatted");
            }
        };

        abstract String message();
    }

    @ParameterizedTest
    @EnumSource
    void linesAfterARecordThatCannotBeFormattedAreWritten(FormatFailure failure) {
        MetricRegistry registry = new MetricRegistry();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonLineHandler handler = new JsonLineHandler(registry, out);
        handler.publish(new LogRecord(Level.INFO, "unformattable") {
            private static final long serialVersionUID = 1;

            @Override
            public String getMessage() {
                return failure.message();
            }
        });
        handler.publish(new LogRecord(Level.INFO, "next line"));
        handler.close();
        String text = out.toString(StandardCharsets.UTF_8);
        assertThat(text.lines().reduce((first, second) -> second).orElse("")).contains("\"text\":\"next line\"");
        assertThat(registry.counter("log.dropped").getCount()).isEqualTo(1);
    }
}
