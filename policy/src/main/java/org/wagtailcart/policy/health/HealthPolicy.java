package org.wagtailcart.policy.health;

/** Policies for an upstream that fails; the benchmark compares them. */
public enum HealthPolicy {
    /** Keeps sending requests to a failing upstream. */
    NONE {
        @Override
        public HealthTracker newTracker(HealthOptions options) {
            return new HealthTracker() {
                @Override
                public void onOutcome(boolean success, long nowMillis) {}

                @Override
                public long availableFromMillis(long nowMillis) {
                    return Long.MIN_VALUE;
                }
            };
        }
    },
    /** Outlier ejection: sends no requests to a failing upstream for a cooldown. */
    EJECTION {
        @Override
        public HealthTracker newTracker(HealthOptions options) {
            return new OutlierEjection(options);
        }
    };

    /** Creates the health state of one upstream. */
    public abstract HealthTracker newTracker(HealthOptions options);
}
