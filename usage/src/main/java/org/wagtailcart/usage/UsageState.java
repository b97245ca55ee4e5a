package org.wagtailcart.usage;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Replicated state of the usage reports: the closed windows. Immutable; it is also its own snapshot.
 *
 * @param droppedThrough number of the newest window that was removed, {@link Long#MIN_VALUE} for none; it and all
 *     older ones stay closed
 * @param windows closed windows, oldest first
 */
public record UsageState(long droppedThrough, List<ClosedUsageWindow> windows) {
    /** State without a closed window. */
    public static final UsageState EMPTY = new UsageState(Long.MIN_VALUE, List.of());

    /** Number of reported windows kept, so that a repeated command of a former leader gets the stored counts. */
    static final int MAX_REPORTED = 12;
    /** Number of windows kept for a platform that accepts no reports; 5 minutes of windows of 5 s. */
    static final int MAX_WINDOWS = 60;
    /** Limit on the stored counts; a snapshot of this size has about 1 MB. */
    static final int MAX_COUNTS = 40_000;

    /** Returns the number of the oldest window that is kept, or of the newest one that was removed. */
    public OptionalLong firstWindow() {
        if (droppedThrough != Long.MIN_VALUE) {
            return OptionalLong.of(droppedThrough);
        }
        return windows.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(windows.get(0).window());
    }

    /** Returns a closed window; one that was removed appears as reported and without counts. */
    public Optional<ClosedUsageWindow> find(long window) {
        if (window <= droppedThrough) {
            return Optional.of(new ClosedUsageWindow(window, Map.of(), true));
        }
        return windows.stream().filter(closed -> closed.window() == window).findFirst();
    }

    /** Returns the state after a command; it is the same if the window is closed already. */
    public UsageState apply(CloseUsageWindow command) {
        if (find(command.window()).isPresent()) {
            return this;
        }
        ClosedUsageWindow closed =
                new ClosedUsageWindow(command.window(), Map.copyOf(command.countByWorkspace()), false);
        return new UsageState(
                        droppedThrough,
                        Stream.concat(windows.stream(), Stream.of(closed))
                                .sorted(Comparator.comparingLong(ClosedUsageWindow::window))
                                .toList())
                .prune();
    }

    /** Returns the state after a command; one for a window that is not closed changes nothing. */
    public UsageState apply(MarkUsageReported command) {
        return new UsageState(
                        droppedThrough,
                        windows.stream()
                                .map(closed -> closed.window() == command.window() ? closed.asReported() : closed)
                                .toList())
                .prune();
    }

    private UsageState prune() {
        UsageState pruned = this;
        while (pruned.exceedsLimits()) {
            List<ClosedUsageWindow> all = pruned.windows;
            pruned = new UsageState(all.get(0).window(), all.subList(1, all.size()));
        }
        return new UsageState(pruned.droppedThrough, List.copyOf(pruned.windows));
    }

    private boolean exceedsLimits() {
        int counts = windows.stream()
                .mapToInt(closed -> closed.countByWorkspace().size())
                .sum();
        return windows.size() > MAX_WINDOWS
                || (windows.size() > 1 && counts > MAX_COUNTS)
                || (windows.size() > MAX_REPORTED && windows.get(0).reported());
    }
}
