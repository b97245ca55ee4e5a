package org.wagtailcart.usage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Replicated state of the usage reports: the closed windows. Immutable; it is also its own snapshot.
 *
 * <p>Windows are removed in the order in which they were closed, and only the removed ones count as closed then. A wrong
 * true time may have closed windows far in the future, and the real ones before them must still be closed.
 *
 * @param droppedThrough number of a window that stays closed with all older ones, {@link Long#MIN_VALUE} for none; set
 *     only by snapshots without {@code removedRanges}
 * @param windows closed windows in the order in which they were closed
 * @param removedRanges windows that were removed and stay closed, in ascending order and apart from each other; null in
 *     older snapshots
 */
public record UsageState(
        long droppedThrough, List<ClosedUsageWindow> windows, @Nullable List<WindowRange> removedRanges) {
    /** State without a closed window. */
    public static final UsageState EMPTY = new UsageState(Long.MIN_VALUE, List.of(), List.of());

    /** Number of reported windows kept, so that a repeated command of a former leader gets the stored counts. */
    static final int MAX_REPORTED = 12;
    /** Number of windows kept for a platform that accepts no reports; 5 minutes of windows of 5 s. */
    static final int MAX_WINDOWS = 60;
    /** Limit on the stored counts; a snapshot of this size has about 1 MB. */
    static final int MAX_COUNTS = 40_000;
    /** Limit on the ranges of removed windows; each error of true time and each outage of all leaders adds one. */
    static final int MAX_RANGES = 64;

    /** Returns the windows that were removed and stay closed. */
    List<WindowRange> removed() {
        return removedRanges == null ? List.of() : removedRanges;
    }

    /** Returns the number of the oldest window that is known to be closed. */
    public OptionalLong firstWindow() {
        if (droppedThrough != Long.MIN_VALUE) {
            return OptionalLong.of(droppedThrough);
        }
        return LongStream.concat(
                        removed().stream().mapToLong(WindowRange::first),
                        windows.stream().mapToLong(ClosedUsageWindow::window))
                .min();
    }

    /** Returns a closed window; one that was removed appears as reported and without counts. */
    public Optional<ClosedUsageWindow> find(long window) {
        return windows.stream()
                .filter(closed -> closed.window() == window)
                .findFirst()
                .or(() -> isRemoved(window)
                        ? Optional.of(new ClosedUsageWindow(window, Map.of(), true))
                        : Optional.empty());
    }

    private boolean isRemoved(long window) {
        return window <= droppedThrough || removed().stream().anyMatch(range -> range.contains(window));
    }

    /** Returns the state after a command; it is the same if the window is closed already. */
    public UsageState apply(CloseUsageWindow command) {
        if (find(command.window()).isPresent()) {
            return this;
        }
        ClosedUsageWindow closed =
                new ClosedUsageWindow(command.window(), Map.copyOf(command.countByWorkspace()), false);
        return withWindows(Stream.concat(windows.stream(), Stream.of(closed)).toList())
                .prune();
    }

    /** Returns the state after a command; one for a window that is not closed changes nothing. */
    public UsageState apply(MarkUsageReported command) {
        return withWindows(windows.stream()
                        .map(closed -> closed.window() == command.window() ? closed.asReported() : closed)
                        .toList())
                .prune();
    }

    private UsageState withWindows(List<ClosedUsageWindow> newWindows) {
        return new UsageState(droppedThrough, newWindows, removed());
    }

    private UsageState prune() {
        UsageState pruned = this;
        while (pruned.exceedsLimits()) {
            pruned = pruned.withoutFirst();
        }
        return pruned;
    }

    private boolean exceedsLimits() {
        int counts = windows.stream()
                .mapToInt(closed -> closed.countByWorkspace().size())
                .sum();
        return windows.size() > MAX_WINDOWS
                || (windows.size() > 1 && counts > MAX_COUNTS)
                || windows.stream().filter(ClosedUsageWindow::reported).count() > MAX_REPORTED;
    }

    /** Removes the window that was closed first, of the reported ones if there are any. */
    private UsageState withoutFirst() {
        ClosedUsageWindow first =
                windows.stream().filter(ClosedUsageWindow::reported).findFirst().orElse(windows.get(0));
        return new UsageState(
                droppedThrough,
                windows.stream()
                        .filter(closed -> closed.window() != first.window())
                        .toList(),
                withRange(removed(), new WindowRange(first.window(), first.window())));
    }

    private static List<WindowRange> withRange(List<WindowRange> ranges, WindowRange added) {
        List<WindowRange> merged = new ArrayList<>();
        Stream.concat(ranges.stream(), Stream.of(added))
                .sorted(Comparator.comparingLong(WindowRange::first))
                .forEach(range -> {
                    int last = merged.size() - 1;
                    if (last >= 0 && merged.get(last).gapTo(range) <= 0) {
                        merged.set(last, merged.get(last).span(range));
                    } else {
                        merged.add(range);
                    }
                });
        if (merged.size() > MAX_RANGES) {
            closeSmallestGap(merged);
        }
        return List.copyOf(merged);
    }

    /** Joins the two closest ranges. The windows between them are lost, but none is reported with other counts. */
    private static void closeSmallestGap(List<WindowRange> ranges) {
        int index = IntStream.range(0, ranges.size() - 1)
                .boxed()
                .min(Comparator.comparingLong(i -> ranges.get(i).gapTo(ranges.get(i + 1))))
                .orElseThrow();
        WindowRange later = ranges.remove(index + 1);
        ranges.set(index, ranges.get(index).span(later));
    }
}
