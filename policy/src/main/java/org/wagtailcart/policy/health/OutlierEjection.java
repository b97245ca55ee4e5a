package org.wagtailcart.policy.health;

/**
 * Outlier ejection: an upstream gets no requests for a cooldown, which doubles with each ejection in a row, and full
 * traffic afterwards.
 */
final class OutlierEjection implements HealthTracker {
    private final HealthOptions options;
    private final OutcomeWindow window;
    private long ejectedUntilMillis;
    private long cooldownMillis;

    OutlierEjection(HealthOptions options) {
        this.options = options;
        this.window = new OutcomeWindow(options);
        this.cooldownMillis = options.initialCooldownMillis();
    }

    @Override
    public void onOutcome(boolean success, long nowMillis) {
        if (nowMillis < ejectedUntilMillis) {
            return;
        }
        if (nowMillis > ejectedUntilMillis + options.maxCooldownMillis()) {
            cooldownMillis = options.initialCooldownMillis();
        }
        window.add(success);
        if (window.exceedsFailureLimits()) {
            ejectedUntilMillis = nowMillis + cooldownMillis;
            cooldownMillis = Math.min(options.maxCooldownMillis(), 2 * cooldownMillis);
            window.clear();
        }
    }

    @Override
    public long availableFromMillis(long nowMillis) {
        return ejectedUntilMillis;
    }
}
