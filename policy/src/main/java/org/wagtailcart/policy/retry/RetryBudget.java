package org.wagtailcart.policy.retry;

/**
 * Token bucket that limits retries to a share of first attempts. Each first attempt adds a fraction of a retry; each
 * retry takes one. Not thread safe.
 */
public final class RetryBudget {
    /** Retries per first attempt (design section 8). */
    public static final double DEFAULT_RATIO = 0.1;

    /** Maximum number of saved retries; without a cap, an hour of low failure rates would save up a retry storm. */
    public static final int DEFAULT_BURST = 20;

    private final double ratio;
    private final double burst;
    private double balance;

    /** Creates a budget of 10% that starts empty, so that retries are within 10% from the first request on. */
    public RetryBudget() {
        this(DEFAULT_RATIO, DEFAULT_BURST);
    }

    /**
     * Creates an empty budget.
     *
     * @param ratio retries earned by one first attempt, 0 to 1
     * @param burst maximum number of saved retries, at least 1
     * @throws IllegalArgumentException when an argument is out of range
     */
    public RetryBudget(double ratio, int burst) {
        this(ratio, burst, 0);
    }

    /**
     * Creates a budget that starts with a reserve for times of little traffic.
     *
     * @param ratio retries earned by one first attempt, 0 to 1
     * @param burst maximum number of saved retries, at least 1
     * @param initial retries available at the start, 0 to {@code burst}
     * @throws IllegalArgumentException when an argument is out of range
     */
    public RetryBudget(double ratio, int burst, int initial) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio " + ratio + " is not between 0 and 1");
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst " + burst + " is below 1");
        }
        if (initial < 0 || initial > burst) {
            throw new IllegalArgumentException("initial " + initial + " is not between 0 and " + burst);
        }
        this.ratio = ratio;
        this.burst = burst;
        this.balance = initial;
    }

    /** Records a first attempt. */
    public void onFirstAttempt() {
        balance = Math.min(burst, balance + ratio);
    }

    /** Takes one retry from the budget and returns whether one was available. */
    public boolean tryAcquire() {
        // Ten additions of 0.1 sum up to slightly less than 1.
        if (balance < 1 - 1e-9) {
            return false;
        }
        balance = Math.max(0, balance - 1);
        return true;
    }

    /** Returns the number of available retries. */
    public double balance() {
        return balance;
    }
}
