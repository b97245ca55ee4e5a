package org.wagtailcart.policy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Set of the upstreams of one pool and stage that have capacity. A dense array with the position stored in each member
 * makes add, remove and random draw independent of the size.
 */
final class CandidateSet {
    private final List<UpstreamLoad> candidates = new ArrayList<>();
    private final int slot;

    /** Creates an empty set that stores each member's position in the given slot of {@link UpstreamLoad#positions}. */
    CandidateSet(int slot) {
        this.slot = slot;
    }

    boolean isEmpty() {
        return candidates.isEmpty();
    }

    void add(UpstreamLoad upstream) {
        if (upstream.positions[slot] >= 0) {
            return;
        }
        upstream.positions[slot] = candidates.size();
        candidates.add(upstream);
    }

    void remove(UpstreamLoad upstream) {
        int position = upstream.positions[slot];
        if (position < 0) {
            return;
        }
        UpstreamLoad last = candidates.remove(candidates.size() - 1);
        if (last != upstream) {
            candidates.set(position, last);
            last.positions[slot] = position;
        }
        upstream.positions[slot] = -1;
    }

    boolean contains(UpstreamLoad upstream) {
        return upstream.positions[slot] >= 0;
    }

    /** Returns a random member that is neither excluded nor {@code other}, or null; visits at most excluded + 2. */
    @Nullable
    UpstreamLoad draw(SplittableRandom random, Set<String> excluded, @Nullable UpstreamLoad other) {
        int size = candidates.size();
        if (size == 0) {
            return null;
        }
        int start = random.nextInt(size);
        int visits = Math.min(size, excluded.size() + 2);
        for (int i = 0; i < visits; i++) {
            UpstreamLoad candidate = candidates.get((start + i) % size);
            if (candidate != other && !excluded.contains(candidate.id)) {
                return candidate;
            }
        }
        return null;
    }
}
