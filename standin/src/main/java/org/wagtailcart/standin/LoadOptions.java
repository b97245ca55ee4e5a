package org.wagtailcart.standin;

import java.util.List;
import org.wagtailcart.common.Address;

/**
 * Options of the load generator.
 *
 * @param entries entries that receive the requests in round robin
 * @param model model of the completion requests
 * @param service service of the calls with an idempotency key, empty for no such calls
 * @param servicePath path of the calls with an idempotency key
 * @param workspace workspace of the requests
 * @param seed random seed of arrival times and lengths
 * @param durationMillis time over which requests arrive
 * @param requestsPerSecond mean arrival rate
 * @param mixPeriodMillis period of the change from a prompt-heavy to an output-heavy mix and back
 * @param keyedShare share of calls with an idempotency key, 0 to 1
 * @param lengthScale factor on prompt and output lengths
 * @param deadlineMillis deadline of each request
 */
public record LoadOptions(
        List<Address> entries,
        String model,
        String service,
        String servicePath,
        String workspace,
        long seed,
        long durationMillis,
        double requestsPerSecond,
        long mixPeriodMillis,
        double keyedShare,
        double lengthScale,
        long deadlineMillis) {}
