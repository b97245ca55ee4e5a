package org.wagtailcart.gateway.list;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.policy.placement.FleetRates;

/** Prefill rates of the engines of each service, computed anew a few times a second. Does no I/O; not thread safe. */
final class ServiceRates {
    private static final Logger LOG = System.getLogger(ServiceRates.class.getName());
    /** Time for which the rates of a service are cached; replies of the control group come as often. */
    private static final long VALIDITY_MILLIS = 250;

    private final LearnedEngineRates learnedRates;
    private final Map<String, CachedRates> ratesByService = new HashMap<>();

    ServiceRates(LearnedEngineRates learnedRates) {
        this.learnedRates = learnedRates;
    }

    private record CachedRates(FleetRates rates, long expiresAtMillis) {}

    /**
     * Returns the rates of a service.
     *
     * @param upstreamIds instances of the service in the host list
     */
    FleetRates of(String service, Supplier<Stream<String>> upstreamIds, long nowMillis) {
        CachedRates cached = ratesByService.get(service);
        if (cached != null && nowMillis < cached.expiresAtMillis()) {
            return cached.rates();
        }
        Map<String, Double> known = new HashMap<>();
        upstreamIds
                .get()
                .forEach(id -> learnedRates.tokensPerMilli(id, nowMillis).ifPresent(rate -> known.put(id, rate)));
        FleetRates rates = FleetRates.of(known);
        ratesByService.put(service, new CachedRates(rates, nowMillis + VALIDITY_MILLIS));
        logChange(service, rates.summary(), (cached == null ? FleetRates.DEFAULT : cached.rates()).summary());
        return rates;
    }

    private static void logChange(String service, FleetRates.Summary latest, FleetRates.Summary previous) {
        if (latest.differsFrom(previous)) {
            LogEventKind.ENGINE_RATES_CHANGED.log(
                    LOG,
                    Level.INFO,
                    service,
                    latest.tokensPerMilli(),
                    latest.fasterIds().size(),
                    latest.slowerIds().size(),
                    String.format(Locale.ROOT, "%.2f", latest.maxSpeed()),
                    String.format(Locale.ROOT, "%.2f", latest.minSpeed()));
        }
    }
}
