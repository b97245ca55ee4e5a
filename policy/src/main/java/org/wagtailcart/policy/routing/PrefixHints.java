package org.wagtailcart.policy.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * LRU map from prefix block hashes to the upstream that probably has them cached. A wrong hint costs time, not
 * correctness.
 */
final class PrefixHints {
    private final Map<Long, String> upstreamByHash;

    PrefixHints(int limit) {
        upstreamByHash = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                return size() > limit;
            }
        };
    }

    void record(List<Long> prefixHashes, String upstreamId) {
        prefixHashes.forEach(hash -> upstreamByHash.put(hash, upstreamId));
    }

    /** Returns the upstream recorded for the longest known prefix, or null when there is none. */
    @Nullable
    String findUpstream(List<Long> prefixHashes) {
        for (int i = prefixHashes.size() - 1; i >= 0; i--) {
            String upstreamId = upstreamByHash.get(prefixHashes.get(i));
            if (upstreamId != null) {
                return upstreamId;
            }
        }
        return null;
    }

    /** Returns the share of the prefix blocks that the upstream probably has cached. */
    double cachedShare(List<Long> prefixHashes, String upstreamId) {
        for (int i = prefixHashes.size() - 1; i >= 0; i--) {
            if (upstreamId.equals(upstreamByHash.get(prefixHashes.get(i)))) {
                return (i + 1.0) / prefixHashes.size();
            }
        }
        return 0;
    }
}
