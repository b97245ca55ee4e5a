package org.wagtailcart.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.control.ControlOptions;
import org.wagtailcart.control.ControlRole;
import org.wagtailcart.control.ControlState;
import org.wagtailcart.control.FleetPlanner;
import org.wagtailcart.control.KeyStateMachine;
import org.wagtailcart.control.client.ControlMessages;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.SingleMemberLog;
import org.wagtailcart.fleet.FleetMessages;
import org.wagtailcart.settings.SettingsMessages;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.IoLoop;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.PeerClient;
import org.wagtailcart.wire.PeerDispatcher;
import org.wagtailcart.wire.WireOptions;

/** Runs the command line against a control member with a single-member log. */
@Timeout(120)
class WagtailcartTest {
    private static final MessageCodec CODEC =
            new MessageCodec(List.of(SettingsMessages.TYPES, FleetMessages.TYPES, ControlMessages.TYPES));
    private static final String TREE =
            """
            [/upstreams/assistant]
            kind = engine
            model = assistant

            [/upstreams/assistant/e1]
            address = 10.0.0.1:8000
            sidecar = s1
            sidecar-address = 10.0.0.1:7000

            [/upstreams/assistant/e2]
            address = 10.0.0.2:8000
            sidecar = s2
            sidecar-address = 10.0.0.2:7000
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    private final IoLoop loop = new IoLoop("test-io");
    private final Address operatorAddress = TestAddresses.free();
    private final Address unreachableAddress = TestAddresses.free();

    @TempDir
    private Path folder;

    private SingleMemberLog log;
    private ControlRole role;

    @BeforeEach
    void start() throws IOException {
        ControlState state = new ControlState(CODEC, new UnsupportedKeyStateMachine());
        MetricRegistry registry = new MetricRegistry();
        log = new SingleMemberLog(new Member("c1", 1, TestAddresses.free(), true), state);
        role = new ControlRole(
                new ControlOptions(operatorAddress, "secret", 500, 50, 50),
                log,
                state,
                CODEC,
                new PeerDispatcher(),
                new PeerClient(loop, CODEC, executor, WireOptions.standard(), registry),
                FleetPlanner.NONE,
                registry,
                executor,
                scheduler);
        role.start();
        Files.writeString(folder.resolve("token"), "secret\n");
        Files.writeString(folder.resolve("wrong-token"), "other\n");
        Files.writeString(folder.resolve("tree.ini"), TREE);
        Files.writeString(folder.resolve("bad.ini"), "[/a]\nnope = 1\n");
        Files.writeString(
                folder.resolve("process.ini"),
                "[process]\nid = p\nroles = entry\n[listen]\ncaller = 80\n[control]\nmembers = c1@127.0.0.1:1\n");
    }

    @AfterEach
    void stop() {
        role.close();
        scheduler.shutdownNow();
        log.close();
        loop.close();
        executor.shutdownNow();
    }

    private ExitCode run(String line) {
        out.reset();
        err.reset();
        String token = line.contains("--token-file") ? "" : "--token-file FOLDER/token ";
        String[] arguments = Stream.of((token + "--server " + operatorAddress + " " + line).split(" "))
                .map(argument -> argument.replace("FOLDER", folder.toString())
                        .replace("UNREACHABLE", unreachableAddress.toString()))
                .toArray(String[]::new);
        return new Wagtailcart(new Console(new PrintStream(out, true), new PrintStream(err, true))).run(arguments);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8) + err.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a command that calls the wrong endpoint, hides a refusal or ends with the wrong exit code. */
    @Test
    void commandsWorkAgainstAMember() throws IOException {
        String[][] steps = {
            {"apply FOLDER/tree.ini --change-id a1", "OK", "revision: 1"},
            {"apply FOLDER/tree.ini --change-id a1 --expected-revision 0", "OK", "revision: 1"},
            {"set /upstreams/assistant max-in-flight 8 --change-id a1 --expected-revision 0", "REFUSED", "code 4009"},
            {"set /upstreams/assistant max-in-flight 8 --expected-revision 0", "REFUSED", "code 4001"},
            {"set /upstreams/assistant max-in-flight 8", "OK", "revision: 2"},
            {"set /upstreams/assistant max-in-flight 0", "REFUSED", "from 1 to 4096"},
            {"tree --branch /upstreams/assistant/e1", "OK", "max-in-flight=value=8 origin=/upstreams/assistant"},
            {"export --branch /upstreams/assistant/e2", "OK", "sidecar = s2"},
            {"compare 1 2", "OK", "max-in-flight"},
            {"history", "OK", "a1"},
            {"wait 2 --limit-millis 60000", "OK", "in_force: true"},
            {"wait 3 --limit-millis 0", "NOT_IN_FORCE", "in_force: false"},
            {"upstreams", "OK", "10.0.0.2:8000"},
            {"drain e1", "OK", "upstream_id: e1"},
            {"withdraw e2", "REFUSED", "code 4005"},
            {"remove /upstreams/assistant/e2", "REFUSED", "code 4005"},
            {"resume e1", "OK", "upstream_id: e1"},
            {"order e1 --role decode --change-id o1", "OK", "order_number: "},
            {"order e1 --role decode --expected-order-number 0", "REFUSED", "code 4012"},
            {"replace e2 e1", "OK", "upstream_id: e2"},
            {"resume e2", "REFUSED", "code 4010"},
            {"move /upstreams/assistant /upstreams/assistant/e1", "REFUSED", "code 4004"},
            {"unset /upstreams/assistant queue-limit", "REFUSED", "code 1004"},
            {"remove /upstreams/assistant/e2", "OK", "revision: 3"},
            {"members", "OK", "c1"},
            {"promote c9", "REFUSED", "code 3007"},
            {"status", "OK", "role: leader"},
            {"dump", "OK", "fleet_version"},
            {"metrics", "OK", "control.commands"},
            {"--server UNREACHABLE status", "OK", "role: leader"},
            {"--token-file FOLDER/wrong-token status", "REFUSED", "code 1003"},
        };
        for (String[] step : steps) {
            ExitCode code = run(step[0]);
            assertWithMessage("%s: %s", step[0], output()).that(code).isEqualTo(ExitCode.valueOf(step[1]));
            assertWithMessage(step[0]).that(output()).contains(step[2]);
        }
        assertThat(run("--json tree")).isEqualTo(ExitCode.OK);
        assertThat(new ObjectMapper()
                        .readTree(out.toByteArray())
                        .path("revision")
                        .asLong())
                .isEqualTo(3);
    }

    /** Guards against invalid input that ends with a stack trace or the exit code of success. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            nope                          | USAGE        | nope
            set /a                        | USAGE        | set needs 3 arguments, not 1
            apply                         | USAGE        | FILE
            apply FOLDER/none.ini         | INVALID_FILE | cannot be read
            wait x                        | REFUSED      | "revision" has the value "x"
            add-learner c2 x 1.2.3.4:5    | USAGE        | incarnation "x"
            --server nowhere status       | USAGE        | not of the form IP:PORT
            check-tree FOLDER/bad.ini     | INVALID_FILE | key "nope" is unknown
            check-tree FOLDER/tree.ini    | OK           | valid: 3 branches, 2 upstreams
            check-settings FOLDER/bad.ini | INVALID_FILE | section [/a] is unknown
            check-settings FOLDER/process.ini | OK       | valid: process p
            set --help                    | OK           | --expected-revision
            --help                        | OK           | check-settings
            """)
    void reportsInvalidInput(String line, ExitCode code, String message) {
        assertWithMessage("%s", line).that(run(line)).isEqualTo(code);
        assertThat(output()).contains(message);
    }

    /** Guards against an unreachable group reported as an unknown outcome, after which a repeat needs the same id. */
    @Test
    void reportsUnreachableGroup() {
        String[] arguments = {
            "--server",
            unreachableAddress.toString(),
            "--token-file",
            folder.resolve("token").toString(),
            "drain",
            "e1"
        };
        ExitCode code =
                new Wagtailcart(new Console(new PrintStream(out, true), new PrintStream(err, true))).run(arguments);
        assertThat(code).isEqualTo(ExitCode.UNREACHABLE);
    }

    private static final class UnsupportedKeyStateMachine implements KeyStateMachine {
        @Override
        public Object apply(long index, long timeMillis, Object command) {
            throw new IllegalStateException("this test uses no idempotency keys");
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {}

        @Override
        public Object lookup(Object query) {
            throw new IllegalStateException("this test uses no idempotency keys");
        }
    }
}
