package org.wagtailcart.daemon;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against streamed responses that fail or stay incomplete when a process is killed or paused or a connection
 * falls silent. Each stream must be resumed on another upstream.
 */
class StreamFaultTest {
    private static final List<String> SIDECARS = List.of("sidecar-1", "sidecar-2", "sidecar-3");
    private static final String FORWARD_ALL =
            "{\"drop_to_target\":false,\"drop_to_client\":false,\"existing_only\":false}";
    private static final int STREAMS = 9;
    private static final int TOKENS = 2_000;
    private static ProcessFleet fleet;

    /** Fault that is injected while streams run, and its recovery. */
    enum Fault {
        SIDECAR_KILLED(fleet -> fleet.process("sidecar-2").kill(), fleet -> fleet.startDaemon("sidecar-2", "sidecar")),
        SIDECAR_PAUSED(fleet -> fleet.process("sidecar-2").pause(), fleet -> fleet.process("sidecar-2")
                .resume()),
        ENGINE_KILLED(fleet -> fleet.process("engine-2").kill(), fleet -> {
            fleet.startEngine("engine-2");
            fleet.await("engine-2 to listen", () -> {
                fleet.injectFault("engine-2", "{\"kind\":\"truncate\",\"count\":0}");
                return true;
            });
        }),
        ENGINE_TRUNCATES(
                fleet -> fleet.injectFault("engine-2", "{\"kind\":\"truncate\",\"count\":2,\"after_tokens\":20}"),
                fleet -> {}),
        UPSTREAM_SILENT(
                fleet -> fleet.setRelayMode(
                        "engine-1", "{\"drop_to_target\":true,\"drop_to_client\":true,\"existing_only\":true}"),
                fleet -> fleet.setRelayMode("engine-1", FORWARD_ALL)),
        UPSTREAM_SILENT_ONE_WAY(
                fleet -> fleet.setRelayMode(
                        "engine-1", "{\"drop_to_target\":false,\"drop_to_client\":true,\"existing_only\":true}"),
                fleet -> fleet.setRelayMode("engine-1", FORWARD_ALL)),
        CONTROL_LEADER_KILLED(
                fleet -> {
                    String leader = fleet.leader();
                    fleet.process(leader).kill();
                    fleet.startDaemon(leader, "control");
                },
                fleet -> {}),
        SIDECAR_KILLED_AND_LEADER_PAUSED(
                fleet -> {
                    fleet.process(fleet.leader()).pause();
                    fleet.process("sidecar-3").kill();
                },
                fleet -> {
                    fleet.controlMembers().forEach(name -> fleet.process(name).resume());
                    fleet.startDaemon("sidecar-3", "sidecar");
                });

        private final Consumer<ProcessFleet> inject;
        private final Consumer<ProcessFleet> recover;

        Fault(Consumer<ProcessFleet> inject, Consumer<ProcessFleet> recover) {
            this.inject = inject;
            this.recover = recover;
        }
    }

    @BeforeAll
    static void start(@TempDir Path folder) {
        fleet = new ProcessFleet(folder, 3);
        fleet.startEngine("engine-1-target");
        fleet.startRelay("engine-1", "engine-1-target");
        fleet.startEngine("engine-2");
        fleet.startEngine("engine-3");
        List.of("stock-1", "stock-2").forEach(fleet::startService);
        fleet.startSidecarsAndEntries(SIDECARS);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** Guards against a stream that ends as complete without all its tokens, and against one lost with its upstream. */
    @ParameterizedTest
    @EnumSource
    void everyStreamIsComplete(Fault fault) {
        fleet.assertStreamsComplete(fault.name(), STREAMS, TOKENS, () -> fault.inject.accept(fleet));
        fault.recover.accept(fleet);
        fleet.awaitServing("entry-1");
    }
}
