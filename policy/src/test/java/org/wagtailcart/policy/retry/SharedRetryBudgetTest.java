package org.wagtailcart.policy.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against gateways whose retries together exceed the shared budget in any window. */
class SharedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final int RESERVE = 52;
    private static final long WINDOW_MILLIS = 10_000;

    /** Every request attempts a retry, as when all upstreams fail. */
    @ParameterizedTest
    @CsvSource({"1, 7", "4, 11", "21, 13"})
    void theRetriesOfAllGatewaysStayWithinTheBudgetInEveryWindow(int gateways, long seed) {
        Random random = new Random(seed);
        SharedRetryBudget[] budgets = IntStream.range(0, gateways)
                .mapToObj(i -> new SharedRetryBudget(RATIO, RESERVE, WINDOW_MILLIS))
                .toArray(SharedRetryBudget[]::new);
        long[] requestTimes = LongStream.range(0, 4_000).map(i -> i * 10).toArray();
        long[] retryTimes = LongStream.of(requestTimes)
                .filter(now -> {
                    SharedRetryBudget budget = budgets[random.nextInt(gateways)];
                    budget.onRequest(now);
                    return budget.tryAcquire(gateways, now);
                })
                .toArray();
        for (long start = 0; start < 40_000; start += 250) {
            long from = start;
            long requests = LongStream.of(requestTimes)
                    .filter(t -> t >= from && t < from + WINDOW_MILLIS)
                    .count();
            long retries = LongStream.of(retryTimes)
                    .filter(t -> t >= from && t < from + WINDOW_MILLIS)
                    .count();
            assertThat((double) retries).isAtMost(RATIO * requests + RESERVE);
        }
        assertThat(retryTimes.length).isGreaterThan(100);
    }
}
