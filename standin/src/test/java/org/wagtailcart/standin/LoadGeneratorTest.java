package org.wagtailcart.standin;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import com.beust.jcommander.JCommander;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.TestAddresses;

/**
 * Guards against a load generator that counts faulty responses as good or depends on more than its options, and against a
 * relay that affects the wrong connections. The generator calls a stand-in engine directly, which accepts the same
 * completion requests as an entry.
 */
class LoadGeneratorTest {
    private Address address;
    private Address relayAddress;
    private StandinEngine engine;
    private Relay relay;

    @BeforeEach
    void start() {
        address = TestAddresses.free();
        relayAddress = TestAddresses.free();
        engine = new StandinEngine(EngineOptions.forTest(address, "m"));
        engine.start();
        relay = new Relay(new Relay.Options(relayAddress, address, null));
        relay.start();
    }

    @AfterEach
    void stop() {
        relay.close();
        engine.close();
    }

    /** Guards against a generator that rejects or fails to count complete responses. */
    @Test
    void countsVerifiedResponses() throws Exception {
        LoadResult result = new LoadGenerator(options(1, 60_000)).run();
        assertThat(result.planned()).isGreaterThan(10);
        assertThat(result.failures()).isEmpty();
        assertThat(result.completed()).isEqualTo(result.planned());
    }

    /** Guards against a generator that counts a faulty response as complete. */
    @ParameterizedTest
    @CsvSource({"CROSS", "RESET_BEFORE"})
    void faultyResponsesAreFailures(FaultKind kind) throws Exception {
        assertFaultyResponsesFail(kind);
    }

    /** Checks the same for faults within a stream, which sometimes have no effect; listed in KNOWN-RED.txt. */
    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"TRUNCATE", "DUPLICATE"})
    void faultyResponsesAreFailuresKnownRed(FaultKind kind) throws Exception {
        assertFaultyResponsesFail(kind);
    }

    private void assertFaultyResponsesFail(FaultKind kind) throws Exception {
        engine.fault(new Fault(kind, 3, 2, 0));
        LoadResult result = new LoadGenerator(options(2, 60_000)).run();
        assertThat(result.completed()).isEqualTo(result.planned() - 3);
    }

    /** Guards against a plan that depends on anything but its options, which would make runs incomparable. */
    @Test
    void planIsTheSameForTheSameSeed() {
        assertThat(LoadPlan.generate(options(7, 1_000))).isEqualTo(LoadPlan.generate(options(7, 1_000)));
        assertThat(LoadPlan.generate(options(7, 1_000))).isNotEqualTo(LoadPlan.generate(options(8, 1_000)));
    }

    /** Guards against a relay that closes the connections whose bytes it drops, or drops bytes of new connections. */
    @Test
    void relayDropsBytesOfExistingConnectionsOnly() throws Exception {
        try (Socket old = new Socket(relayAddress.ip(), relayAddress.port())) {
            long deadline = System.nanoTime() + 20_000_000_000L;
            while (relay.connections() == 0 && System.nanoTime() < deadline) {
                Thread.onSpinWait();
            }
            relay.setMode(new Relay.Mode(true, true, true));
            old.getOutputStream().write("GET /engine/state HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(US_ASCII));
            LoadOptions through = options(3, 60_000, relayAddress);
            assertThat(new LoadGenerator(through).run().failures()).isEmpty();
            assertThat(old.getInputStream().available()).isEqualTo(0);
            assertThat(relay.connections()).isAtLeast(1);
        }
    }

    /** Guards against repeated entries or other options of the command line that do not reach the generator. */
    @Test
    void commandLineBecomesOptions() {
        Command.Load load = new Command.Load();
        JCommander.newBuilder()
                .addCommand("load", load)
                .build()
                .parse("load", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2", "--model", "m", "--seconds", "3");
        assertThat(load.options().entries()).containsExactly(new Address("127.0.0.1", 1), new Address("127.0.0.1", 2));
        assertThat(load.options().durationMillis()).isEqualTo(3_000);
    }

    private LoadOptions options(long seed, long deadlineMillis) {
        return options(seed, deadlineMillis, address);
    }

    private static LoadOptions options(long seed, long deadlineMillis, Address entry) {
        return new LoadOptions(List.of(entry), "m", "", "/", "default", seed, 1_000, 30, 1_000, 0, 0.1, deadlineMillis);
    }
}
