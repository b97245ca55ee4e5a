package org.wagtailcart.policy.power;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.EngineObservation;

/** Detector of an overload of the shared power feed: most engines slow down at once, or several fail together. */
final class PowerOverloadDetector {
    /** Share of decoding engines that must be slow; a single slow engine has another cause. */
    private static final double SLOW_SHARE = 0.6;

    /** Failures within the failure window that indicate an overload. */
    private static final int CORRELATED_FAILURES = 2;

    private final PowerOptions options;
    private final Map<EngineRole, TokenIntervalModel> models = new EnumMap<>(EngineRole.class);
    private final Map<String, EngineObservation> previous = new HashMap<>();
    private final Deque<Long> failures = new ArrayDeque<>();

    PowerOverloadDetector(PowerOptions options) {
        this.options = options;
    }

    /** Returns whether the observations show an overload. Observations that were passed before are ignored. */
    boolean observe(List<EngineObservation> observations, long nowMillis) {
        List<EngineObservation> fresh =
                observations.stream().filter(this::isNew).toList();
        fresh.forEach(observation -> recordFailure(observation, nowMillis));
        fresh.forEach(observation -> previous.put(observation.upstreamId(), observation));
        boolean slow = mostAreSlow(fresh);
        if (!slow) {
            fresh.stream().filter(PowerOverloadDetector::isDecoding).forEach(this::updateModel);
        }
        return slow || hasCorrelatedFailures(nowMillis);
    }

    private boolean isNew(EngineObservation observation) {
        EngineObservation last = previous.get(observation.upstreamId());
        return last == null || last.measuredAtMillis() < observation.measuredAtMillis();
    }

    private void recordFailure(EngineObservation observation, long nowMillis) {
        EngineObservation last = previous.get(observation.upstreamId());
        boolean failed = last != null && last.reachable() && last.aboveSoftLimit() && !observation.reachable();
        if (failed) {
            failures.add(nowMillis);
        }
    }

    private boolean hasCorrelatedFailures(long nowMillis) {
        failures.removeIf(at -> at < nowMillis - options.failureWindowMillis());
        if (failures.size() < CORRELATED_FAILURES) {
            return false;
        }
        failures.clear();
        return true;
    }

    private boolean mostAreSlow(List<EngineObservation> fresh) {
        List<EngineObservation> modelled = fresh.stream()
                .filter(PowerOverloadDetector::isDecoding)
                .filter(observation -> model(observation).hasEnoughSamples())
                .toList();
        long slow = modelled.stream().filter(this::isSlow).count();
        return modelled.size() >= 2 && slow >= SLOW_SHARE * modelled.size();
    }

    private boolean isSlow(EngineObservation observation) {
        double expected = model(observation).expectedMillis(observation.batchSize());
        return observation.tokenIntervalMillis() > options.slowdownRatio() * expected;
    }

    private void updateModel(EngineObservation observation) {
        model(observation).add(observation.batchSize(), observation.tokenIntervalMillis());
    }

    private TokenIntervalModel model(EngineObservation observation) {
        return models.computeIfAbsent(observation.role(), unused -> new TokenIntervalModel());
    }

    private static boolean isDecoding(EngineObservation observation) {
        return observation.inService() && observation.tokenIntervalMillis() > 0 && observation.batchSize() >= 1;
    }
}
