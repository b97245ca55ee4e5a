package org.wagtailcart.policy.capacity;

import java.util.List;

/**
 * Linear trend of demand over a short period, fitted by least squares. Stateless.
 *
 * @param level demand at the end of the period
 * @param sustained demand that the period has shown, without extrapolation; at a crest it is below the level, because a
 *     line through a rise goes on where the demand turns
 * @param slopePerMillis rise of the demand, 0 unless it is significant
 */
record DemandTrend(double level, double sustained, double slopePerMillis) {
    /** Standard errors by which a rise must exceed 0; 2 is exceeded by chance in about 2% of periods. */
    private static final double SIGNIFICANT_ERRORS = 2;
    /** A line through fewer samples has no meaningful error. */
    private static final int MIN_SAMPLES = 4;

    /** Demand at a time. */
    record Sample(long atMillis, double slots) {}

    /** Fits the trend of samples in the order of time, of which there must be at least one. */
    static DemandTrend fit(List<Sample> samples) {
        double mean = samples.stream().mapToDouble(Sample::slots).average().orElse(0);
        long lastMillis = samples.get(samples.size() - 1).atMillis();
        double meanAge = samples.stream()
                .mapToDouble(sample -> lastMillis - sample.atMillis())
                .average()
                .orElse(0);
        double spread = samples.stream()
                .mapToDouble(sample -> square(timeFromMean(sample, lastMillis, meanAge)))
                .sum();
        double sustained = Math.max(mean, lowerOfLastTwo(samples));
        DemandTrend flat = new DemandTrend(sustained, sustained, 0);
        if (samples.size() < MIN_SAMPLES || spread == 0) {
            return flat;
        }
        double slope = samples.stream()
                        .mapToDouble(sample -> timeFromMean(sample, lastMillis, meanAge) * (sample.slots() - mean))
                        .sum()
                / spread;
        double residual = samples.stream()
                .mapToDouble(
                        sample -> square(sample.slots() - mean - slope * timeFromMean(sample, lastMillis, meanAge)))
                .sum();
        double error = Math.sqrt(residual / (samples.size() - 2) / spread);
        return slope > SIGNIFICANT_ERRORS * error
                ? new DemandTrend(Math.max(mean + slope * meanAge, sustained), sustained, slope)
                : flat;
    }

    /** Returns the demand after a further time if the trend continues. */
    double after(long millis) {
        return level + slopePerMillis * millis;
    }

    /** Returns the lower of the last two samples, so that a step is followed after two samples and noise is not. */
    private static double lowerOfLastTwo(List<Sample> samples) {
        return samples.stream()
                .skip(Math.max(0, samples.size() - 2))
                .mapToDouble(Sample::slots)
                .min()
                .orElse(0);
    }

    private static double timeFromMean(Sample sample, long lastMillis, double meanAge) {
        return meanAge - (lastMillis - sample.atMillis());
    }

    private static double square(double value) {
        return value * value;
    }
}
