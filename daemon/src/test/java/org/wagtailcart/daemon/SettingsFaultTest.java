package org.wagtailcart.daemon;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.ApplySettingsResult;
import org.wagtailcart.settings.SettingsEdit;

/**
 * Guards against accepted settings that a process does not apply, or that it later replaces by an older revision, under
 * faults of the control group.
 */
class SettingsFaultTest {
    private static final List<String> SIDECARS = List.of("sidecar-1");
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2");
    private static ProcessFleet fleet;

    /** Fault that is injected into the control group before a change, and its recovery. */
    enum Fault {
        NONE(fleet -> {}, fleet -> {}),
        LEADER_KILLED(fleet -> fleet.process(fleet.leader()).kill(), fleet -> fleet.controlMembers().stream()
                .filter(name -> !fleet.process(name).isAlive())
                .forEach(name -> fleet.startDaemon(name, "control"))),
        LEADER_PAUSED(fleet -> fleet.process(fleet.leader()).pause(), fleet -> fleet.controlMembers()
                .forEach(name -> fleet.process(name).resume())),
        ALL_RESTARTED(
                fleet -> {
                    fleet.controlMembers().forEach(name -> fleet.process(name).kill());
                    fleet.controlMembers().forEach(name -> fleet.startDaemon(name, "control"));
                },
                fleet -> {}),
        DISK_LOST_THEN_SECOND_MEMBER_LOST(SettingsFaultTest::replaceMemberAfterDiskLoss, fleet -> {
            fleet.controlMembers().stream()
                    .filter(name -> !fleet.process(name).isAlive())
                    .forEach(name -> fleet.startDaemon(name, "control"));
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
        fleet.startAll(SIDECARS);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    /** Guards against a lost or reverted change, two accepted changes of one revision and a change applied twice. */
    @ParameterizedTest
    @EnumSource
    void acceptedChangesAreKept(Fault fault) {
        long before = fleet.revisionOf("entry-1");
        AtomicReference<String> regression = new AtomicReference<>("");
        AtomicLong highest = new AtomicLong(before);
        Thread watcher = new Thread(() -> watchRevision(highest, regression), "watcher");
        watcher.start();

        fault.inject.accept(fleet);
        CompletableFuture<ApplySettingsResult> first = apply("a-" + fault, before, "41");
        CompletableFuture<ApplySettingsResult> second = apply("b-" + fault, before, "42");
        List<ApplySettingsResult> results = List.of(first.join(), second.join());
        long accepted =
                results.stream().filter(result -> result.codeNumber() == 0).count();
        assertWithMessage(results.toString()).that(accepted).isEqualTo(1);
        long revision = results.get(0).revision();
        fault.recover.accept(fleet);

        ENTRIES.forEach(
                name -> fleet.await("revision " + revision + " at " + name, () -> fleet.revisionOf(name) >= revision));
        ApplySettingsResult resent = apply("a-" + fault, before, "41").join();
        assertWithMessage("result of the resent change").that(resent).isEqualTo(results.get(0));
        watcher.interrupt();
        assertWithMessage("decreases of the revision at entry-1")
                .that(regression.get())
                .isEmpty();
        fleet.awaitServing("entry-1");
    }

    private static CompletableFuture<ApplySettingsResult> apply(String changeId, long expected, String value) {
        ApplySettings change = new ApplySettings(
                changeId,
                "test",
                expected,
                List.of(new SettingsEdit(SettingsEdit.Kind.SET, "/workspaces/w", "requests-per-second", value)));
        return CompletableFuture.supplyAsync(() -> fleet.submit(change, ApplySettingsResult.class));
    }

    private static void watchRevision(AtomicLong highest, AtomicReference<String> regression) {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                long revision = fleet.revisionOf("entry-1");
                if (revision < highest.get()) {
                    regression.set(highest.get() + " to " + revision);
                }
                highest.set(Math.max(revision, highest.get()));
                Thread.sleep(20);
            } catch (UncheckedIOException | InterruptedException | IllegalStateException e) {
                return;
            }
        }
    }

    /** Deletes the disk of a follower, replaces the member by its new incarnation, then kills a second member. */
    private static void replaceMemberAfterDiskLoss(ProcessFleet fleet) {
        String leader = fleet.leader();
        String lost = fleet.controlMembers().stream()
                .filter(name -> !name.equals(leader))
                .findFirst()
                .orElseThrow();
        fleet.process(lost).kill();
        long oldIncarnation = incarnation(fleet, lost);
        delete(fleet.folder().resolve("data-" + lost));
        fleet.startDaemon(lost, "control");
        fleet.await("a new incarnation", () -> incarnation(fleet, lost) != oldIncarnation);
        long newIncarnation = incarnation(fleet, lost);
        changeMember(fleet, "add-learner", lost, newIncarnation);
        changeMember(fleet, "remove", lost, oldIncarnation);
        changeMember(fleet, "promote", lost, newIncarnation);
        String second = fleet.controlMembers().stream()
                .filter(name -> !name.equals(lost) && !name.equals(fleet.leader()))
                .findFirst()
                .orElseThrow();
        fleet.process(second).kill();
    }

    private static void changeMember(ProcessFleet fleet, String kind, String member, long incarnation) {
        String body = "{\"kind\":\"%s\",\"member_id\":\"%s\",\"incarnation\":%d,\"address\":\"%s\"}"
                .formatted(kind, member, incarnation, fleet.address(member + ".peer"));
        fleet.await(
                kind + " " + member,
                () -> fleet.sendOperatorRequest(fleet.leader(), "/v1/members", Optional.of(body))
                                .statusCode()
                        < 300);
    }

    private static long incarnation(ProcessFleet fleet, String member) {
        return Pattern.compile("member-(?:blank|opened) member=" + member + " incarnation=(\\d+)")
                .matcher(fleet.process(member).readLog())
                .results()
                .map(MatchResult::group)
                .map(line -> Long.valueOf(line.substring(line.lastIndexOf('=') + 1)))
                .reduce((first, last) -> last)
                .orElseThrow();
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
