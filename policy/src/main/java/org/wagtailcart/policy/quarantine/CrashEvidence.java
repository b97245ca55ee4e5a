package org.wagtailcart.policy.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Crashes at which one prompt segment was present. Not thread safe. */
final class CrashEvidence {
    /** Limit on the crashes kept; more than any standing needs. */
    private static final int MAX_CRASHES = 16;

    /** Time within which crashes of one engine are the same one; an engine takes longer to start again. */
    private static final long SAME_ENGINE_MILLIS = 2_000;

    /** One crash with its time. */
    record Occurrence(String engineId, long atMillis) {
        boolean isSameAs(Occurrence other) {
            return engineId.equals(other.engineId) && Math.abs(atMillis - other.atMillis) < SAME_ENGINE_MILLIS;
        }
    }

    private final int depth;
    private final List<Occurrence> crashes = new ArrayList<>();

    CrashEvidence(int depth) {
        this.depth = depth;
    }

    /** Returns the position of the segment in the prompts; segments further back are shared by fewer requests. */
    int depth() {
        return depth;
    }

    /** Adds a crash; returns false if it is known already, because several gateways report the same crash. */
    boolean add(Occurrence crash) {
        if (crashes.stream().anyMatch(crash::isSameAs)) {
            return false;
        }
        crashes.add(crash);
        crashes.sort(Comparator.comparingLong(Occurrence::atMillis));
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(0);
        }
        return true;
    }

    /** Forgets the crashes until a time. */
    void removeUntil(long untilMillis) {
        crashes.removeIf(crash -> crash.atMillis() <= untilMillis);
    }

    /** Forgets a crash. */
    void remove(Occurrence explained) {
        crashes.removeIf(explained::isSameAs);
    }

    List<Occurrence> crashes() {
        return List.copyOf(crashes);
    }

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    int count() {
        return crashes.size();
    }

    long lastMillis() {
        return crashes.isEmpty()
                ? Long.MIN_VALUE
                : crashes.get(crashes.size() - 1).atMillis();
    }

    List<Long> timesMillis() {
        return crashes.stream().map(Occurrence::atMillis).toList();
    }
}
