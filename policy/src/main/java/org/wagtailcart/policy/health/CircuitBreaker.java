package org.wagtailcart.policy.health;

/**
 * Circuit breaker: closed, open for a growing cooldown, half-open with one probe, then a paced release in which requests
 * keep a shrinking distance.
 */
final class CircuitBreaker implements HealthTracker {
    /** Distance between requests at the start of the release. */
    private static final double FIRST_GAP_MILLIS = 200;

    private final HealthOptions options;
    private final OutcomeWindow window;
    private State state = State.CLOSED;
    private long admitsFromMillis;
    private long releaseStartMillis;
    private long cooldownMillis;

    private enum State {
        CLOSED,
        OPEN,
        PROBING,
        RELEASING
    }

    CircuitBreaker(HealthOptions options) {
        this.options = options;
        this.window = new OutcomeWindow(options);
        this.cooldownMillis = options.firstCooldownMillis();
    }

    @Override
    public void onSent(long nowMillis) {
        if (state == State.OPEN && nowMillis >= admitsFromMillis) {
            state = State.PROBING;
            // A probe whose outcome never arrives must not block the upstream for ever.
            admitsFromMillis = nowMillis + options.lastCooldownMillis();
        } else if (state == State.RELEASING) {
            double left = 1 - (nowMillis - releaseStartMillis) / (double) options.releaseMillis();
            admitsFromMillis = nowMillis + Math.round(Math.max(0, left) * FIRST_GAP_MILLIS);
        }
    }

    @Override
    public void onOutcome(boolean success, long nowMillis) {
        switch (state) {
            case OPEN -> {}
            case PROBING -> endProbe(success, nowMillis);
            case RELEASING -> release(success, nowMillis);
            case CLOSED -> judge(success, nowMillis);
        }
    }

    private void endProbe(boolean success, long nowMillis) {
        if (success) {
            state = State.RELEASING;
            releaseStartMillis = nowMillis;
            admitsFromMillis = nowMillis;
            window.clear();
        } else {
            open(nowMillis);
        }
    }

    private void release(boolean success, long nowMillis) {
        judge(success, nowMillis);
        if (state == State.RELEASING && nowMillis >= releaseStartMillis + options.releaseMillis()) {
            state = State.CLOSED;
            admitsFromMillis = nowMillis;
            cooldownMillis = options.firstCooldownMillis();
        }
    }

    private void judge(boolean success, long nowMillis) {
        window.add(success);
        if (window.bad()) {
            open(nowMillis);
        }
    }

    private void open(long nowMillis) {
        state = State.OPEN;
        admitsFromMillis = nowMillis + cooldownMillis;
        cooldownMillis = Math.min(options.lastCooldownMillis(), 2 * cooldownMillis);
        window.clear();
    }

    @Override
    public long admitsFromMillis(long nowMillis) {
        return admitsFromMillis;
    }
}
