package org.wagtailcart.bench;

import java.util.function.ToDoubleFunction;
import org.wagtailcart.policy.role.Demand;
import org.wagtailcart.policy.role.RoleCounts;
import org.wagtailcart.policy.role.RoleOptions;

/** Request mix of a workload: the shares of the kinds of engine requests. */
enum Mix {
    BALANCED(0.50, 0.35, 0.05, 0.10),
    PROMPT_HEAVY(0.35, 0.15, 0.40, 0.10),
    OUTPUT_HEAVY(0.25, 0.65, 0.00, 0.10);

    /** Expected prefix cache hit ratio over shared prefix tokens; used only to plan roles and rates ahead of a run. */
    private static final double EXPECTED_CACHE_HIT_RATIO = 0.6;

    private final double counter;
    private final double draft;
    private final double manual;
    private final double batch;

    Mix(double counter, double draft, double manual, double batch) {
        this.counter = counter;
        this.draft = draft;
        this.manual = manual;
        this.batch = batch;
    }

    /** Returns the kind at a point of the cumulative distribution, from 0 to 1. */
    RequestKind pick(double point) {
        if (point < counter) {
            return RequestKind.COUNTER;
        }
        if (point < counter + draft) {
            return RequestKind.DRAFT;
        }
        return point < counter + draft + manual ? RequestKind.MANUAL : RequestKind.BATCH;
    }

    /** Returns the expected demand in uncached prompt tokens and output tokens per second. */
    Demand demand(double requestsPerSecond) {
        double prompt = mean(
                kind -> kind.promptTokens - EXPECTED_CACHE_HIT_RATIO * kind.sharedBlocks() * CostModel.BLOCK_TOKENS);
        return new Demand(requestsPerSecond * prompt, requestsPerSecond * mean(kind -> kind.outputTokens));
    }

    /** Returns the requests per second that the best split of roles serves with every engine fully utilized. */
    double capacity(int engines, RoleOptions options) {
        Demand one = demand(1);
        return 1 / RoleCounts.best(engines, one, options).utilization(one, options);
    }

    private double mean(ToDoubleFunction<RequestKind> value) {
        return counter * value.applyAsDouble(RequestKind.COUNTER)
                + draft * value.applyAsDouble(RequestKind.DRAFT)
                + manual * value.applyAsDouble(RequestKind.MANUAL)
                + batch * value.applyAsDouble(RequestKind.BATCH);
    }
}
