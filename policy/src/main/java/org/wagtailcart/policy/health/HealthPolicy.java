package org.wagtailcart.policy.health;

/** Ways to treat an upstream that fails; they are compared by the benchmark. */
public enum HealthPolicy {
    /** Sends on as if nothing had happened. */
    NONE {
        @Override
        public HealthTracker tracker(HealthOptions options) {
            return new HealthTracker() {
                @Override
                public void onOutcome(boolean success, long nowMillis) {}

                @Override
                public long admitsFromMillis(long nowMillis) {
                    return Long.MIN_VALUE;
                }
            };
        }
    },
    /** Outlier ejection. */
    EJECTION {
        @Override
        public HealthTracker tracker(HealthOptions options) {
            return new Ejection(options);
        }
    };

    /** Creates the state of one upstream. */
    public abstract HealthTracker tracker(HealthOptions options);
}
