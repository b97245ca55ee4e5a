package org.wagtailcart.policy.role;

/** Exponential moving average of demand over irregular intervals. */
final class DemandAverage {
    private final double timeConstantMillis;
    private double prompt;
    private double output;
    private long updatedMillis;
    private boolean empty = true;

    DemandAverage(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    void add(Demand demand, long nowMillis) {
        double weight = empty ? 1 : 1 - Math.exp(-(nowMillis - updatedMillis) / timeConstantMillis);
        prompt += weight * (demand.promptTokensPerSecond() - prompt);
        output += weight * (demand.outputTokensPerSecond() - output);
        updatedMillis = nowMillis;
        empty = false;
    }

    Demand value() {
        return new Demand(prompt, output);
    }
}
