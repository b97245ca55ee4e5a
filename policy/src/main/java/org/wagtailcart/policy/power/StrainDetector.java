package org.wagtailcart.policy.power;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;

/** Recognises an overdrawn power feed: most engines slow down at once, or engines fail together. */
final class StrainDetector {
    /** Share of generating engines that must be slow; a single slow engine has another cause. */
    private static final double SLOW_SHARE = 0.6;

    private static final int FAILURES_TOGETHER = 2;

    private final PowerOptions options;
    private final Map<EngineRole, IntervalModel> models = new EnumMap<>(EngineRole.class);
    private final Map<String, EngineObservation> previous = new HashMap<>();
    private final Deque<Long> failures = new ArrayDeque<>();

    StrainDetector(PowerOptions options) {
        this.options = options;
    }

    /** Takes in observations and returns whether they show strain. Repeated observations count once. */
    boolean observe(List<EngineObservation> observations, long nowMillis) {
        List<EngineObservation> fresh =
                observations.stream().filter(this::isNew).toList();
        fresh.forEach(observation -> noteFailure(observation, nowMillis));
        fresh.forEach(observation -> previous.put(observation.upstreamId(), observation));
        boolean slow = mostAreSlow(fresh);
        if (!slow) {
            fresh.stream().filter(StrainDetector::generates).forEach(this::learn);
        }
        return slow || failedTogether(nowMillis);
    }

    private boolean isNew(EngineObservation observation) {
        EngineObservation last = previous.get(observation.upstreamId());
        return last == null || last.measuredMillis() < observation.measuredMillis();
    }

    private void noteFailure(EngineObservation observation, long nowMillis) {
        EngineObservation last = previous.get(observation.upstreamId());
        boolean failed = last != null && last.reachable() && last.hard() && !observation.reachable();
        if (failed) {
            failures.add(nowMillis);
        }
    }

    private boolean failedTogether(long nowMillis) {
        failures.removeIf(at -> at < nowMillis - options.failureWindowMillis());
        if (failures.size() < FAILURES_TOGETHER) {
            return false;
        }
        failures.clear();
        return true;
    }

    private boolean mostAreSlow(List<EngineObservation> fresh) {
        List<EngineObservation> judged = fresh.stream()
                .filter(StrainDetector::generates)
                .filter(observation -> model(observation).trusted())
                .toList();
        long slow = judged.stream().filter(this::isSlow).count();
        return judged.size() >= 2 && slow >= SLOW_SHARE * judged.size();
    }

    private boolean isSlow(EngineObservation observation) {
        double expected = model(observation).expectedMillis(observation.batchSize());
        return observation.tokenIntervalMillis() > options.slowdownRatio() * expected;
    }

    private void learn(EngineObservation observation) {
        model(observation).add(observation.batchSize(), observation.tokenIntervalMillis());
    }

    private IntervalModel model(EngineObservation observation) {
        return models.computeIfAbsent(observation.role(), unused -> new IntervalModel());
    }

    private static boolean generates(EngineObservation observation) {
        return observation.inService() && observation.tokenIntervalMillis() > 0 && observation.batchSize() >= 1;
    }
}
