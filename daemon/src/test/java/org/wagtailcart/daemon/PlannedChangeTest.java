package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.fleet.FleetResult;
import org.wagtailcart.fleet.IssueOrder;
import org.wagtailcart.fleet.SetLifecycle;

/** Guards against streamed responses that fail or stay incomplete during a planned change such as a drain. */
class PlannedChangeTest {
    private static final List<String> SIDECARS = List.of("sidecar-1", "sidecar-2", "sidecar-3");
    private static final int STREAMS = 12;
    private static final int TOKENS = 2_000;
    private static ProcessFleet fleet;

    /** Planned change that is applied while streams run, and the action that restores the fleet. */
    enum Change {
        DRAIN(
                fleet -> lifecycle(fleet, "drain", Lifecycle.DRAINING),
                fleet -> lifecycle(fleet, "resume", Lifecycle.ACTIVE)),
        ROLE_CHANGE(
                fleet -> {
                    EngineTarget target = new EngineTarget(EngineRole.MIXED, ProcessFleet.MODEL, "", "2");
                    FleetResult result =
                            fleet.submit(new IssueOrder("order-1", "engine-2", target, 0), FleetResult.class);
                    assertWithMessage(result.toString())
                            .that(result.codeNumber())
                            .isEqualTo(0);
                },
                fleet -> {}),
        SETTINGS(
                fleet -> {
                    long unused = fleet.applySettings("[/upstreams]\nmax-in-flight = 12\n", 1);
                },
                fleet -> {}),
        SIDECAR_SHUTDOWN(fleet -> fleet.process("sidecar-3").terminate(), fleet -> {
            fleet.process("sidecar-3").awaitExit();
            fleet.startDaemon("sidecar-3", "sidecar");
        }),
        ENTRY_SHUTDOWN(fleet -> fleet.process("entry-1").terminate(), fleet -> {
            fleet.process("entry-1").awaitExit();
            fleet.startDaemon("entry-1", "entry");
            fleet.awaitServing("entry-1");
        }),
        CONTROL_LEADER_SHUTDOWN(
                fleet -> {
                    String leader = fleet.leader();
                    fleet.process(leader).terminate();
                    fleet.process(leader).awaitExit();
                    fleet.startDaemon(leader, "control");
                },
                fleet -> {});

        private final Consumer<ProcessFleet> apply;
        private final Consumer<ProcessFleet> restore;

        Change(Consumer<ProcessFleet> apply, Consumer<ProcessFleet> restore) {
            this.apply = apply;
            this.restore = restore;
        }

        private static void lifecycle(ProcessFleet fleet, String changeId, Lifecycle lifecycle) {
            FleetResult result =
                    fleet.submit(new SetLifecycle(changeId, "test", "engine-1", lifecycle, ""), FleetResult.class);
            assertWithMessage(result.toString()).that(result.codeNumber()).isEqualTo(0);
        }
    }

    @BeforeAll
    static void start(@TempDir Path folder) {
        fleet = new ProcessFleet(folder, 3);
        fleet.startAll(SIDECARS);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** Guards against a planned change that aborts a stream or makes it repeat or omit a token. */
    @ParameterizedTest
    @EnumSource
    void everyStreamIsComplete(Change change) {
        fleet.assertStreamsComplete(change.name(), STREAMS, TOKENS, () -> change.apply.accept(fleet));
        change.restore.accept(fleet);
    }
}
