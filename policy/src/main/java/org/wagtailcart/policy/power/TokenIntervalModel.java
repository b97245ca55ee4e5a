package org.wagtailcart.policy.power;

/**
 * Linear model of the token interval over the batch size, fitted by least squares with exponential forgetting. Engines
 * of one role share a model, because a single engine runs at too few batch sizes to fit a line.
 */
final class TokenIntervalModel {
    /** Minimum number of samples before the fit is used. */
    private static final int MIN_SAMPLES = 20;

    /** Half of the weight is younger than about 700 samples, a minute of reports from 13 engines. */
    private static final double FORGETTING_FACTOR = 0.999;

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;
    private int samples;

    void add(double batchSize, double intervalMillis) {
        weight = weight * FORGETTING_FACTOR + 1;
        sumX = sumX * FORGETTING_FACTOR + batchSize;
        sumY = sumY * FORGETTING_FACTOR + intervalMillis;
        sumXx = sumXx * FORGETTING_FACTOR + batchSize * batchSize;
        sumXy = sumXy * FORGETTING_FACTOR + batchSize * intervalMillis;
        samples++;
    }

    boolean hasEnoughSamples() {
        return samples >= MIN_SAMPLES;
    }

    /** Returns the expected interval at a batch size. */
    double expectedMillis(double batchSize) {
        double determinant = weight * sumXx - sumX * sumX;
        if (determinant < 1e-6 * weight * weight) {
            return sumY / weight;
        }
        double slope = Math.max(0, (weight * sumXy - sumX * sumY) / determinant);
        return (sumY - slope * sumX) / weight + slope * batchSize;
    }
}
