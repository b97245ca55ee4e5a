package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a non-idempotent call that runs more than once when a process or its service fails. A booking is sent
 * through two entries under one idempotency key while a fault is injected into real processes.
 */
class AtMostOnceCallFaultTest {
    private static final List<String> SIDECARS = List.of("sidecar-1", "sidecar-2");
    private static final List<String> SERVICES = List.of("stock-1", "stock-2");
    private static ProcessFleet fleet;

    /** Fault that is injected while the booking runs, and its recovery. */
    enum Fault {
        SERVICE_RESETS_AFTER_RUN((fleet, key) -> {}, "{\"kind\":\"reset-after\",\"count\":1}", (fleet, key) -> {}),
        SERVICE_RESETS_BEFORE_RUN((fleet, key) -> {}, "{\"kind\":\"reset-before\",\"count\":1}", (fleet, key) -> {}),
        SERVICE_IS_SILENT((fleet, key) -> {}, "{\"kind\":\"silent\",\"count\":1}", (fleet, key) -> {}),
        SIDECARS_KILLED(
                (fleet, key) -> SIDECARS.forEach(name -> fleet.process(name).kill()),
                "",
                (fleet, key) -> SIDECARS.forEach(name -> fleet.startDaemon(name, "sidecar"))),
        SIDECARS_PAUSED(
                (fleet, key) -> SIDECARS.forEach(name -> fleet.process(name).pause()),
                "",
                (fleet, key) -> SIDECARS.forEach(name -> fleet.process(name).resume())),
        ENTRY_KILLED(
                (fleet, key) -> fleet.process("entry-1").kill(),
                "",
                (fleet, key) -> fleet.startDaemon("entry-1", "entry")),
        ENTRY_PAUSED((fleet, key) -> fleet.process("entry-1").pause(), "", (fleet, key) -> fleet.process("entry-1")
                .resume()),
        LEADER_KILLED(
                (fleet, key) -> {
                    String leader = fleet.leader();
                    fleet.process(leader).kill();
                    fleet.startDaemon(leader, "control");
                },
                "",
                (fleet, key) -> {}),
        LEADER_PAUSED((fleet, key) -> fleet.process(fleet.leader()).pause(), "", (fleet, key) -> fleet.controlMembers()
                .forEach(name -> fleet.process(name).resume()));

        private final BiConsumer<ProcessFleet, String> inject;
        private final String serviceFault;
        private final BiConsumer<ProcessFleet, String> recover;

        Fault(BiConsumer<ProcessFleet, String> inject, String serviceFault, BiConsumer<ProcessFleet, String> recover) {
            this.inject = inject;
            this.serviceFault = serviceFault;
            this.recover = recover;
        }
    }

    @BeforeAll
    static void start(@TempDir Path folder) {
        fleet = new ProcessFleet(folder, 3);
        fleet.startAll(SIDECARS, "--work-millis", "500");
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** Guards against a second run caused by a retry, by another entry or by a restarted process. */
    @ParameterizedTest
    @EnumSource
    void runsAtMostOnce(Fault fault) {
        String key = "key-" + fault;
        if (!fault.serviceFault.isEmpty()) {
            SERVICES.forEach(name -> fleet.injectFault(name, fault.serviceFault));
        }
        CompletableFuture<Optional<HttpResponse<String>>> first =
                CompletableFuture.supplyAsync(() -> trySendBooking("entry-1", key));
        CompletableFuture.runAsync(
                        () -> fault.inject.accept(fleet, key),
                        CompletableFuture.delayedExecutor(250, TimeUnit.MILLISECONDS))
                .join();
        Optional<HttpResponse<String>> duringFault = trySendBooking("entry-2", key);
        fault.recover.accept(fleet, key);
        Optional<HttpResponse<String>> firstResponse = first.join();
        SERVICES.forEach(name -> fleet.injectFault(name, "{\"kind\":\"silent\",\"count\":0}"));
        SERVICES.forEach(name -> fleet.injectFault(name, "{\"kind\":\"reset-after\",\"count\":0}"));
        SERVICES.forEach(name -> fleet.injectFault(name, "{\"kind\":\"reset-before\",\"count\":0}"));

        fleet.await("a final outcome of " + key, () -> hasFinalOutcome(fleet.sendBooking("entry-2", key, "canopy")));
        HttpResponse<String> last = fleet.sendBooking("entry-2", key, "canopy");
        int runs = fleet.runCount(key, SERVICES);
        String context = "first response: " + describe(firstResponse) + ", during the fault: " + describe(duringFault)
                + ", last: " + last.statusCode() + " " + last.body() + "\n" + fleet.logs();
        assertWithMessage(context).that(runs).isAtMost(1);
        if (last.statusCode() < 300) {
            assertWithMessage(context).that(runs).isEqualTo(1);
        }
        firstResponse.filter(response -> response.statusCode() < 300).ifPresent(response -> assertWithMessage(context)
                .that(last.body())
                .isEqualTo(response.body()));
    }

    /** Returns whether the response is a success or reports an outcome that stays unknown (code 5004). */
    private static boolean hasFinalOutcome(HttpResponse<String> response) {
        return response.statusCode() < 300
                || response.headers()
                        .firstValue("Wagtailcart-Result-Code")
                        .orElse("")
                        .equals("5004");
    }

    private static Optional<HttpResponse<String>> trySendBooking(String entry, String key) {
        try {
            return Optional.of(fleet.sendBooking(entry, key, "canopy"));
        } catch (UncheckedIOException e) {
            return Optional.empty();
        }
    }

    private static String describe(Optional<HttpResponse<String>> response) {
        return response.map(received -> received.statusCode() + " " + received.body())
                .orElse("connection failed");
    }
}
