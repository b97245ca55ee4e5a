package org.wagtailcart.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Generates the requests of a load; equal options give equal requests. */
final class LoadPlan {
    private static final double COUNTER_SHARE = 0.3;
    private static final int SHARED_PREFIX_COUNT = 16;

    private LoadPlan() {}

    /** Returns the requests in order of arrival, with exponentially distributed intervals. */
    static List<PlannedRequest> generate(LoadOptions options) {
        SplittableRandom random = new SplittableRandom(options.seed());
        List<PlannedRequest> plan = new ArrayList<>();
        double atMillis = interval(random, options);
        while (atMillis < options.durationMillis()) {
            plan.add(request(plan.size(), (long) atMillis, random, options));
            atMillis += interval(random, options);
        }
        return plan;
    }

    private static double interval(SplittableRandom random, LoadOptions options) {
        return -Math.log(1 - random.nextDouble()) * 1000 / options.requestsPerSecond();
    }

    private static PlannedRequest request(int number, long atMillis, SplittableRandom random, LoadOptions options) {
        RequestClass kind = kind(atMillis, random, options);
        // Lengths are uniform from 0.5 to 1.5 times the mean of the request class.
        double factor = options.lengthScale() * (0.5 + random.nextDouble());
        int promptTokens = (int) Math.max(1, kind.promptTokens() * factor);
        int outputTokens = (int) Math.max(1, kind.outputTokens() * factor);
        String prompt = prompt(number, promptTokens, random.nextInt(SHARED_PREFIX_COUNT));
        return new PlannedRequest(
                number,
                atMillis,
                kind,
                options.entries().get(number % options.entries().size()),
                prompt,
                outputTokens);
    }

    private static RequestClass kind(long atMillis, SplittableRandom random, LoadOptions options) {
        if (!options.service().isEmpty() && random.nextDouble() < options.keyedShare()) {
            return RequestClass.KEYED;
        }
        if (random.nextDouble() < COUNTER_SHARE) {
            return RequestClass.COUNTER;
        }
        double promptHeavyShare = 0.5 + 0.45 * Math.cos(2 * Math.PI * atMillis / options.mixPeriodMillis());
        return random.nextDouble() < promptHeavyShare ? RequestClass.PROMPT_HEAVY : RequestClass.OUTPUT_HEAVY;
    }

    /** Returns a prompt whose first half is one of the shared prefixes and whose second half is unique. */
    private static String prompt(int number, int tokens, int prefix) {
        int characters = tokens * Tokens.CHARACTERS_PER_TOKEN;
        String shared = ("manual-" + prefix + " ").repeat(characters / 16 + 1).substring(0, characters / 2);
        String own = "request-" + number + " ";
        return shared + own.repeat(characters / (2 * own.length()) + 1);
    }
}
