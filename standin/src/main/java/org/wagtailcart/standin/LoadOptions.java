package org.wagtailcart.standin;

import java.util.List;
import org.wagtailcart.common.Address;

/**
 * Options of a load.
 *
 * @param entries entries that take turns
 * @param model model to ask for
 * @param service service of the keyed calls, empty for none
 * @param servicePath path of the keyed calls
 * @param workspace workspace of the requests
 * @param seed seed of arrivals and lengths
 * @param durationMillis time in which requests arrive
 * @param requestsPerSecond mean rate of arrivals
 * @param swingMillis time in which the mix swings from prompt-heavy to output-heavy and back
 * @param keyedShare share of keyed calls, 0 to 1
 * @param lengthScale factor on the lengths of prompts and outputs
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
        long swingMillis,
        double keyedShare,
        double lengthScale,
        long deadlineMillis) {}
