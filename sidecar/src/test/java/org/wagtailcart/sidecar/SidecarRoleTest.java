package org.wagtailcart.sidecar;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStatus;
import org.wagtailcart.standin.Tokens;

class SidecarRoleTest {
    private SidecarFixture fixture;

    @BeforeEach
    void start() {
        fixture = new SidecarFixture(options -> options);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Guards against a stream that is passed on with parts missing or with wrong counts. */
    @Test
    void passesStreamOnWithCounts() throws Exception {
        TestExchange exchange = fixture.send(fixture.stream("a1", 50));
        AttemptEnd end = (AttemptEnd) exchange.answer();
        assertThat(exchange.body()).contains(Tokens.token("p", 49));
        assertThat(exchange.body()).endsWith("data: [DONE]\n\n");
        assertThat(end.sizeBytes()).isEqualTo(exchange.body().length());
        assertThat(end.chunks()).isEqualTo(exchange.events().size() - 1);
    }

    /** Guards against a whole answer that is changed on its way. */
    @Test
    void passesWholeAnswerOn() throws Exception {
        TestExchange exchange = fixture.send(fixture.whole("a2", 5));
        exchange.answer();
        assertThat(exchange.started().status()).isEqualTo(200);
        assertThat(exchange.body()).contains(Tokens.text("p", 0, 5));
    }

    /** Guards against a non-idempotent call that runs again when its frame is repeated. */
    @Test
    void repeatedFrameRunsOnce() throws Exception {
        AttemptRequest booking = fixture.booking("k1");
        fixture.send(booking).answer();
        WagtailcartException refusal = fixture.send(booking).failure();
        assertThat(refusal.runState()).isEqualTo(RunState.RAN);
        assertThat(fixture.service.runs()).containsExactly("k1", 1L);
        AttemptStatus status = fixture.query(booking);
        assertThat(status.state()).isEqualTo(AttemptStatus.State.DONE);
        assertThat(new String(status.answer().body(), java.nio.charset.StandardCharsets.UTF_8))
                .contains("\"key\":\"k1\"");
    }
}
