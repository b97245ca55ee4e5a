package org.wagtailcart.policy.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries that amplify the load of a failing service. */
class RetryBudgetTest {
    /** Guards against retries of a failing service that exceed 10% of the first attempts. */
    @ParameterizedTest
    @ValueSource(ints = {1, 9, 10, 100, 12_345})
    void retriesStayWithinTheRatioWhenAllRequestsFail(int requests) {
        RetryBudget budget = new RetryBudget();
        long retries = IntStream.range(0, requests)
                .peek(i -> budget.onFirstAttempt())
                .mapToLong(i -> IntStream.range(0, 5)
                        .filter(attempt -> budget.tryAcquire())
                        .count())
                .sum();
        assertThat(retries).isEqualTo(requests / 10);
    }

    /** Guards against a retry storm from retries saved up over a long time without failures. */
    @Test
    void savedRetriesAreCapped() {
        RetryBudget budget = new RetryBudget(0.1, 20);
        IntStream.range(0, 10_000).forEach(i -> budget.onFirstAttempt());
        assertThat(IntStream.range(0, 1_000).filter(i -> budget.tryAcquire()).count())
                .isEqualTo(20);
    }
}
