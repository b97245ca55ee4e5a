package org.wagtailcart.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.IntSupplier;
import java.util.stream.DoubleStream;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.gateway.call.GatewayContext;
import org.wagtailcart.gateway.list.UpstreamState;

/** Registers the gauges of a gateway. */
final class GatewayMetrics {
    private GatewayMetrics() {}

    static void register(MetricRegistry registry, GatewayContext context, IntSupplier openRequests) {
        gauge(registry, "gateway.open", openRequests::getAsInt);
        gauge(
                registry,
                "gateway.table.version",
                () -> context.routeWatcher().routes().table().version());
        gauge(registry, "gateway.table.age-millis", () -> context.routeWatcher().ageMillis());
        gauge(registry, "gateway.workspaces", () -> context.routeWatcher()
                .routes()
                .authenticator()
                .map(authenticator -> authenticator.workspaces().size())
                .orElse(-1));
        gauge(registry, "gateway.list.age-millis", () -> context.registry().listAgeMillis());
        gauge(registry, "gateway.gateways", () -> context.routeWatcher().gatewayCount());
        gauge(registry, "gateway.retries.left", () -> context.retryBudgets()
                .minRemaining(
                        context.routeWatcher().gatewayCount(), context.clock().nowMillis()));
        gauge(registry, "gateway.quarantined-segments", () -> context.quarantine()
                .entries()
                .size());
        gauge(registry, "gateway.upstreams-leaving", () -> context.registry().states().stream()
                .filter(UpstreamState::leaving)
                .count());
        gauge(registry, "gateway.upstreams-refusing", () -> context.registry().states().stream()
                .filter(state -> state.refusesForMillis() > 0)
                .count());
        gauge(registry, "gateway.upstream-crashes", () -> context.quarantine().crashes());
        gauge(registry, "gateway.workspaces-active", () -> context.workspaceLimits()
                .demand()
                .size());
        gauge(registry, "gateway.workspaces-limited", () -> WorkspaceStates.countLimited(context));
        gauge(registry, "gateway.workspaces-refused", () -> context.workspaceLimits()
                .refusals());
        gauge(registry, "gateway.quotas", () -> context.workspaceLimits().quotaCount());
        gauge(registry, "gateway.quota-refused", () -> context.workspaceLimits().quotaRefusals());
        gauge(registry, "gateway.shares-known", () -> context.workspaceLimits().hasShares() ? 1 : 0);
        gauge(registry, "gateway.in-flight", () -> context.registry().ownWork().stream()
                .mapToInt(OutstandingWork::requests)
                .sum());
        gauge(registry, "gateway.queued-tokens", () -> context.registry().ownWork().stream()
                .mapToLong(OutstandingWork::promptTokens)
                .sum());
        gauge(registry, "gateway.engine-rate.min-tokens-per-milli", () -> prefillRates(context)
                .min()
                .orElse(0));
        gauge(registry, "gateway.engine-rate.max-tokens-per-milli", () -> prefillRates(context)
                .max()
                .orElse(0));
        gauge(registry, "gateway.engine-rate.samples", () -> context.registry().states().stream()
                .mapToInt(UpstreamState::rateSamples)
                .sum());
    }

    private static DoubleStream prefillRates(GatewayContext context) {
        return context.registry().states().stream()
                .filter(state -> state.role() == EngineRole.PREFILL)
                .mapToDouble(UpstreamState::tokensPerMilli);
    }

    private static void gauge(MetricRegistry registry, String name, Gauge<Number> value) {
        registry.registerGauge(name, value);
    }
}
