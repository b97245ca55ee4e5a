package org.wagtailcart.policy.health;

/** Outlier ejection: out for a cooldown that doubles with each ejection in a row, then back with full traffic. */
final class Ejection implements HealthTracker {
    private final HealthOptions options;
    private final OutcomeWindow window;
    private long ejectedUntilMillis;
    private long cooldownMillis;

    Ejection(HealthOptions options) {
        this.options = options;
        this.window = new OutcomeWindow(options);
        this.cooldownMillis = options.firstCooldownMillis();
    }

    @Override
    public void onOutcome(boolean success, long nowMillis) {
        if (nowMillis < ejectedUntilMillis) {
            return;
        }
        if (nowMillis > ejectedUntilMillis + options.lastCooldownMillis()) {
            cooldownMillis = options.firstCooldownMillis();
        }
        window.add(success);
        if (window.bad()) {
            ejectedUntilMillis = nowMillis + cooldownMillis;
            cooldownMillis = Math.min(options.lastCooldownMillis(), 2 * cooldownMillis);
            window.clear();
        }
    }

    @Override
    public long admitsFromMillis(long nowMillis) {
        return ejectedUntilMillis;
    }
}
