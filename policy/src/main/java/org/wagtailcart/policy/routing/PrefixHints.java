package org.wagtailcart.policy.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Which upstream probably holds a prefix block in its cache. Wrong hints cost time, never correctness. */
final class PrefixHints {
    private final Map<Long, String> upstreamOf;

    PrefixHints(int limit) {
        upstreamOf = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                return size() > limit;
            }
        };
    }

    void note(List<Long> prefixHashes, String upstreamId) {
        prefixHashes.forEach(hash -> upstreamOf.put(hash, upstreamId));
    }

    /** Returns the upstream of the longest known prefix. */
    @Nullable
    String holder(List<Long> prefixHashes) {
        for (int i = prefixHashes.size() - 1; i >= 0; i--) {
            String holder = upstreamOf.get(prefixHashes.get(i));
            if (holder != null) {
                return holder;
            }
        }
        return null;
    }

    /** Returns the share of the prompt that the upstream probably has cached. */
    double cachedShare(List<Long> prefixHashes, String upstreamId) {
        for (int i = prefixHashes.size() - 1; i >= 0; i--) {
            if (upstreamId.equals(upstreamOf.get(prefixHashes.get(i)))) {
                return (i + 1.0) / prefixHashes.size();
            }
        }
        return 0;
    }
}
