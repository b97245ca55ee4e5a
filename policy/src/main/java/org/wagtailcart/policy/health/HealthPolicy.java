package org.wagtailcart.policy.health;

/** Ways to treat an upstream that fails; they are compared by the benchmark. */
public enum HealthPolicy {
    /** Sends on as if nothing had happened. */
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
    /** Outlier ejection. */
    EJECTION {
        @Override
        public HealthTracker newTracker(HealthOptions options) {
            return new OutlierEjection(options);
        }
    };

    /** Creates the state of one upstream. */
    public abstract HealthTracker newTracker(HealthOptions options);
}
