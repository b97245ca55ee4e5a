package org.wagtailcart.policy.placement;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Prefill rate of one engine: the weighted upper quartile of the samples of the last seconds. Queues that other
 * gateways filled unnoticed make samples too low and are frequent; samples that are too high, because a prompt was
 * cached unnoticed, are rare. Until there are enough samples the rate last known applies. Rates are means over whole
 * prompts, so the higher cost per token of long prompts (some 10%) is not modelled. Does no I/O; not thread safe.
 */
public final class PrefillRateEstimate {
    /** Samples needed for a quartile that a single wrong one does not determine. */
    public static final int MIN_SAMPLES = 4;

    /**
     * Age up to which samples count; the latest few always count, for engines that get few prompts. The rate follows an
     * increase of speed after a quarter of this time and a decrease after three quarters; faults that last a few seconds
     * do not change it and are left to {@link PrefillSlowdown}.
     */
    static final long WINDOW_MILLIS = 20_000;

    /** Fraction of the samples that are lower than the rate. */
    static final double QUANTILE = 0.75;

    /** Limit on the samples kept; 3 to 4 prompts a second reach an engine. */
    static final int MAX_ENTRIES = 64;

    /** Minimum prompt tokens of a sample; fixed delays of some milliseconds distort shorter prefills. */
    static final long MIN_TOKENS = 2_500;

    /** Limit on the tokens queued before a sample, relative to its own; the known queue is outdated by up to 250 ms. */
    static final double MAX_QUEUE_RATIO = 0.25;

    /**
     * Limit on the time in which KV cache is fetched, relative to the rest of the time. It is an estimate, and a fetch may
     * run beside a prefill queued before. Up to this limit, subtracting all of it changes the rate by less than the dead
     * band of {@link FleetRates}.
     */
    static final double MAX_FETCH_RATIO = 0.25;

    private final Deque<Entry> entries = new ArrayDeque<>();
    private double knownTokensPerMilli;

    private record Entry(double tokensPerMilli, int samples, long atMillis) {}

    /**
     * Returns the rate that a finished prefill shows, or empty if the prefill is too short, had to queue, or
     * followed a long fetch of KV cache.
     *
     * @param prefillTokens tokens that the engine prefilled
     * @param queuedTokens tokens queued at the engine when the prefill was sent
     * @param elapsedMillis time from the send to the response
     * @param fetchMillis estimated part of it in which KV cache is fetched
     */
    public static OptionalDouble sample(
            long prefillTokens, long queuedTokens, double elapsedMillis, double fetchMillis) {
        double workMillis = elapsedMillis - fetchMillis;
        boolean usable = prefillTokens >= MIN_TOKENS
                && queuedTokens <= MAX_QUEUE_RATIO * prefillTokens
                && workMillis >= 1
                && fetchMillis <= MAX_FETCH_RATIO * workMillis;
        return usable ? OptionalDouble.of((prefillTokens + queuedTokens) / workMillis) : OptionalDouble.empty();
    }

    /** Records the rate of some samples. */
    public void record(double tokensPerMilli, int samples, long nowMillis) {
        if (isRate(tokensPerMilli) && samples > 0) {
            entries.addLast(new Entry(tokensPerMilli, Math.min(samples, MAX_ENTRIES), nowMillis));
            prune(nowMillis);
        }
    }

    /** Records a rate that was learned elsewhere or earlier; it applies while there are too few samples. */
    public void recordKnown(double tokensPerMilli) {
        if (isRate(tokensPerMilli)) {
            knownTokensPerMilli = tokensPerMilli;
        }
    }

    /** Returns the number of samples that the rate rests on. */
    public int samples(long nowMillis) {
        prune(nowMillis);
        return entries.stream().mapToInt(Entry::samples).sum();
    }

    /** Returns the rate in tokens per millisecond, or empty if nothing is known of the engine. */
    public OptionalDouble tokensPerMilli(long nowMillis) {
        prune(nowMillis);
        if (entries.stream().mapToInt(Entry::samples).sum() >= MIN_SAMPLES) {
            knownTokensPerMilli = quantile();
        }
        return knownTokensPerMilli > 0 ? OptionalDouble.of(knownTokensPerMilli) : OptionalDouble.empty();
    }

    private void prune(long nowMillis) {
        while (entries.size() > MAX_ENTRIES || (entries.size() > MIN_SAMPLES && firstIsOld(nowMillis))) {
            entries.removeFirst();
        }
    }

    private boolean firstIsOld(long nowMillis) {
        return nowMillis - entries.getFirst().atMillis() > WINDOW_MILLIS;
    }

    private double quantile() {
        List<Entry> sorted = entries.stream()
                .sorted(Comparator.comparingDouble(Entry::tokensPerMilli))
                .toList();
        double rank = QUANTILE * entries.stream().mapToInt(Entry::samples).sum();
        int passed = 0;
        for (Entry entry : sorted) {
            passed += entry.samples();
            if (passed >= rank) {
                return entry.tokensPerMilli();
            }
        }
        return knownTokensPerMilli;
    }

    private static boolean isRate(double tokensPerMilli) {
        return tokensPerMilli > 0 && Double.isFinite(tokensPerMilli);
    }
}
