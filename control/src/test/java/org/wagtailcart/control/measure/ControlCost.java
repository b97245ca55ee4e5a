package org.wagtailcart.control.measure;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.wagtailcart.control.ControlState;
import org.wagtailcart.control.EmptyKeyStateMachine;
import org.wagtailcart.control.Samples;
import org.wagtailcart.control.SyncReplyBuilderAccess;
import org.wagtailcart.control.client.DeflatedSyncReply;
import org.wagtailcart.control.client.SyncReply;
import org.wagtailcart.control.client.SyncReplyCompression;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.settings.ApplySettings;
import org.wagtailcart.settings.ApplySettingsResult;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.settings.SettingsTree;

/**
 * Benchmark of settings changes and syncs at several fleet and workspace counts. Writes the rows of one table to the
 * standard output.
 */
public final class ControlCost {
    private static final int CHANGES = 2_000;
    private static final int SYNCS = 20_000;
    private static final int FULL_SYNCS = 10;

    private final ControlState state = new ControlState(Samples.CODEC, new EmptyKeyStateMachine());
    private final SyncReplyBuilderAccess replyBuilder = new SyncReplyBuilderAccess(Samples.CODEC);
    private final int upstreams;
    private final int workspaces;
    private long index;
    private long revision;

    private ControlCost(int upstreams, int workspaces) {
        this.upstreams = upstreams;
        this.workspaces = workspaces;
    }

    public static void main(String[] arguments) {
        new ControlCost(16, 100).measure(new ArrayList<>()); // warms up the JIT compiler
        List<String> lines = new ArrayList<>();
        new ControlCost(16, 100).measure(lines);
        new ControlCost(2_100, 100).measure(lines);
        new ControlCost(2_100, 30_000).measure(lines);
        lines.forEach(System.out::println);
    }

    private void measure(List<String> lines) {
        long emptyBytes = usedBytes();
        fill();
        long stateBytes = usedBytes() - emptyBytes;
        double workspaceChange = nanosEach(
                CHANGES, i -> change("/workspaces/w" + i % workspaces, "deadline-millis", String.valueOf(1 + i)));
        double upstreamChange = nanosEach(
                CHANGES, i -> change("/upstreams/assistant/e" + i % upstreams, "max-in-flight", "" + (1 + i)));
        double idleSync = nanosEach(SYNCS, i -> replyBuilder.buildReply(request(0), state.published()));
        byte[] idle = encode(replyBuilder.buildReply(request(0), state.published()));
        double oneChange = nanosEach(SYNCS, i -> replyBuilder.buildReply(request(1), state.published()));
        byte[] one = encode(replyBuilder.buildReply(request(1), state.published()));
        byte[] encodedRequest = encode(request(0));
        SyncRequest fresh = new SyncRequest("p", 1, "entry", "h", "d", 0, 0, List.of());
        Record fullReply = replyBuilder.buildReply(fresh, state.published());
        double firstFullReply = nanosEach(
                FULL_SYNCS, i -> new SyncReplyBuilderAccess(Samples.CODEC).buildReply(fresh, state.published()));
        double install = nanosEach(FULL_SYNCS, i -> install(fullReply));
        long beforeBytes = usedBytes();
        Object installed = install(fullReply);
        long installedBytes = usedBytes() - beforeBytes;
        Objects.requireNonNull(installed);
        double fullSnapshot = nanosEach(FULL_SYNCS, i -> state.snapshot());
        String inflated =
                fullReply instanceof DeflatedSyncReply deflated ? String.valueOf(deflated.inflatedBodyBytes()) : "-";
        lines.add(String.format(
                "| %d | %d | %.0f | %.0f | %d | %.0f | %d | %.0f | %d | %d | %s | %.1f | %.1f | %.1f | %.1f | %.1f |",
                upstreams,
                workspaces,
                workspaceChange / 1e3,
                upstreamChange / 1e3,
                encodedRequest.length,
                idleSync,
                idle.length,
                oneChange,
                one.length,
                encode(fullReply).length,
                inflated,
                firstFullReply / 1e6,
                install / 1e6,
                fullSnapshot / 1e6,
                stateBytes / 1e6,
                installedBytes / 1e6));
    }

    private void fill() {
        Stream<SettingsEdit> edits = IntStream.range(0, workspaces)
                .boxed()
                .flatMap(i -> Stream.of(
                        SettingsEdit.set("/workspaces/w" + i, "requests-per-second", String.valueOf(i % 500)),
                        SettingsEdit.set("/workspaces/w" + i, "priority", "normal")));
        List<SettingsEdit> all =
                Stream.concat(Samples.engines(upstreams).stream(), edits).toList();
        // Split over several commands, because one command is limited to 3 MiB.
        for (int from = 0; from < all.size(); from += 20_000) {
            apply(all.subList(from, Math.min(all.size(), from + 20_000)));
        }
    }

    private Object change(String branch, String key, String value) {
        return apply(List.of(SettingsEdit.set(branch, key, value)));
    }

    private Object apply(List<SettingsEdit> edits) {
        index++;
        ApplySettingsResult result = (ApplySettingsResult) state.apply(
                index, index, Samples.encode(new ApplySettings("c" + index, "op", revision, List.copyOf(edits))));
        if (result.codeNumber() != 0) {
            throw new IllegalStateException(result.toString());
        }
        revision = result.revision();
        return result;
    }

    private SyncRequest request(int behind) {
        long fleetVersion = state.published().fleet().version() - behind;
        return new SyncRequest(
                "control-cost", 1, "sidecar", "host-1", "domain-1", revision - behind, fleetVersion, List.of());
    }

    private static Object install(Record fullReply) {
        SyncReply reply = SyncReplyCompression.decompress(Samples.CODEC, fullReply);
        return SettingsTree.EMPTY.withEdits(reply.revision(), reply.edits());
    }

    private static byte[] encode(Record message) {
        return Samples.CODEC.encode(message);
    }

    private static double nanosEach(int count, IntFunction<Object> task) {
        long[] nanos = new long[count];
        for (int i = 0; i < count; i++) {
            long start = System.nanoTime();
            if (task.apply(i) == null) {
                throw new IllegalStateException();
            }
            nanos[i] = System.nanoTime() - start;
        }
        Arrays.sort(nanos);
        return nanos[count / 2];
    }

    private static long usedBytes() {
        IntStream.range(0, 3).forEach(i -> System.gc());
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
