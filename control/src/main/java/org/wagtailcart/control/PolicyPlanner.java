package org.wagtailcart.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.Lifecycle;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.control.client.PowerGrant;
import org.wagtailcart.fleet.IssueOrder;
import org.wagtailcart.fleet.OrderState;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.policy.EngineObservation;
import org.wagtailcart.policy.power.EngineGrant;
import org.wagtailcart.policy.power.PowerController;
import org.wagtailcart.policy.power.PowerOptions;
import org.wagtailcart.policy.role.Demand;
import org.wagtailcart.policy.role.RoleChange;
import org.wagtailcart.policy.role.RoleOptions;
import org.wagtailcart.policy.role.RolePlanner;
import org.wagtailcart.settings.SettingsTree;
import org.wagtailcart.settings.UpstreamSettings;

/**
 * Fleet planner that applies the power and role policies to the observations of the leader. The power budget is shared
 * by all engines; roles are planned for each model separately. Planner state is not transferred between members, so a
 * member that becomes the leader for the first time starts with the small initial power allowance.
 */
public final class PolicyPlanner implements FleetPlanner {
    private static final String UPSTREAMS = "/upstreams";
    private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 8_000;
    private static final double DEFAULT_DECODE_TOKENS_PER_SECOND = 1_500;

    private final PowerController power = new PowerController(PowerOptions.defaults());
    private final Map<String, ModelPlan> plans = new HashMap<>();

    /** Role planner of one model with the options it was created with. */
    private record ModelPlan(RoleOptions options, RolePlanner planner) {}

    @Override
    public List<Object> plan(FleetSnapshot observation, long nowMillis) {
        Map<String, List<UpstreamView>> byModel = engines(observation)
                .filter(view -> mayChangeRole(view, observation.settings()))
                .collect(Collectors.groupingBy(PolicyPlanner::model));
        plans.keySet().retainAll(byModel.keySet());
        Map<String, ObservedLoad> loads = sidecarLoads(observation);
        return byModel.entrySet().stream()
                .flatMap(model -> planModel(model.getKey(), model.getValue(), loads, observation, nowMillis))
                .map(Object.class::cast)
                .toList();
    }

    @Override
    public List<PowerGrant> grants(FleetSnapshot observation, long nowMillis) {
        Map<String, ObservedLoad> loads = sidecarLoads(observation);
        power.observe(
                engines(observation)
                        .flatMap(view -> toObservation(view, loads).stream())
                        .toList(),
                nowMillis);
        return power.grants(nowMillis).stream()
                .map(grant -> toMessage(grant, nowMillis))
                .toList();
    }

    private Stream<IssueOrder> planModel(
            String model,
            List<UpstreamView> views,
            Map<String, ObservedLoad> loads,
            FleetSnapshot observation,
            long nowMillis) {
        RoleOptions options = optionsFor(views, observation.settings());
        ModelPlan plan = plans.compute(
                model,
                (unused, existing) -> existing != null && existing.options().equals(options)
                        ? existing
                        : new ModelPlan(options, new RolePlanner(options)));
        Map<String, UpstreamView> byId =
                views.stream().collect(Collectors.toMap(UpstreamView::upstreamId, Function.identity()));
        List<EngineObservation> engines = views.stream()
                .flatMap(view -> toObservation(view, loads).stream())
                .toList();
        return plan.planner().plan(engines, demand(model, observation), nowMillis).stream()
                .flatMap(change -> toOrder(change, byId).stream());
    }

    private static Optional<IssueOrder> toOrder(RoleChange change, Map<String, UpstreamView> byId) {
        UpstreamView view = byId.get(change.upstreamId());
        EngineTarget target = view == null ? null : view.target();
        if (view == null || target == null) {
            return Optional.empty();
        }
        EngineTarget next = new EngineTarget(change.to(), target.model(), target.adapter(), target.version());
        String changeId = "role-" + view.upstreamId() + "-" + view.orderNumber() + "-" + change.to();
        return Optional.of(new IssueOrder(changeId, view.upstreamId(), next, view.orderNumber()));
    }

    private static RoleOptions optionsFor(List<UpstreamView> views, SettingsTree tree) {
        String branch = views.stream()
                .min(Comparator.comparing(UpstreamView::upstreamId))
                .map(view -> branchOf(view, tree))
                .orElse(UPSTREAMS);
        return RoleOptions.defaults(
                        numberSetting(tree, branch, "prefill-tokens-per-second", DEFAULT_PREFILL_TOKENS_PER_SECOND),
                        numberSetting(tree, branch, "decode-tokens-per-second", DEFAULT_DECODE_TOKENS_PER_SECOND))
                .withWeights(
                        numberSetting(tree, branch, "goodput-weight", 1),
                        numberSetting(tree, branch, "role-change-weight", 1));
    }

    private static double numberSetting(SettingsTree tree, String branch, String key, double defaultValue) {
        return tree.effectiveValue(branch, key).map(Double::parseDouble).orElse(defaultValue);
    }

    private static boolean mayChangeRole(UpstreamView view, SettingsTree tree) {
        return view.lifecycle() == Lifecycle.ACTIVE
                && tree.effectiveValue(branchOf(view, tree), "role-changes")
                        .orElse("fixed")
                        .equals("auto");
    }

    private static String branchOf(UpstreamView view, SettingsTree tree) {
        return Optional.ofNullable(tree.upstreams().get(view.upstreamId()))
                .map(UpstreamSettings::branch)
                .orElse(UPSTREAMS);
    }

    /** Returns the demand for a model, the sum over all entries; an entry reports its share under the model's name. */
    private static Demand demand(String model, FleetSnapshot observation) {
        List<ObservedLoad> reports = observation.loads().stream()
                .filter(load -> load.role().equals("entry"))
                .filter(load -> load.report().upstreamId().equals(model))
                .toList();
        return new Demand(
                reports.stream()
                        .mapToDouble(load -> load.report().promptTokensPerSecond())
                        .sum(),
                reports.stream()
                        .mapToDouble(load -> load.report().outputTokensPerSecond())
                        .sum());
    }

    private static Stream<UpstreamView> engines(FleetSnapshot observation) {
        return observation.upstreams().stream()
                .filter(view -> view.kind() == UpstreamKind.ENGINE && view.target() != null)
                .filter(view -> !view.lifecycle().isFinal());
    }

    private static String model(UpstreamView view) {
        return Optional.ofNullable(view.target()).map(EngineTarget::model).orElse("");
    }

    private static Map<String, ObservedLoad> sidecarLoads(FleetSnapshot observation) {
        return observation.loads().stream()
                .filter(load -> load.role().equals("sidecar"))
                .collect(Collectors.toMap(
                        load -> load.report().upstreamId(),
                        Function.identity(),
                        (first, second) -> first.receivedAtMillis() >= second.receivedAtMillis() ? first : second));
    }

    private static Optional<EngineObservation> toObservation(UpstreamView view, Map<String, ObservedLoad> loads) {
        ObservedLoad load = loads.get(view.upstreamId());
        EngineTarget target = view.target();
        if (load == null || target == null) {
            return Optional.empty();
        }
        boolean changing = view.startedOrderNumber() != 0 || view.orderState() == OrderState.ISSUED;
        return Optional.of(new EngineObservation(
                view.upstreamId(),
                target.role(),
                load.report().reachable(),
                changing,
                load.report().running(),
                load.report().queued(),
                load.report().promptTokensPerSecond(),
                load.report().outputTokensPerSecond(),
                load.report().batchSize(),
                load.report().tokenIntervalMillis(),
                load.report().aboveSoftLimit(),
                load.receivedAtMillis()));
    }

    private static PowerGrant toMessage(EngineGrant grant, long nowMillis) {
        return new PowerGrant(grant.upstreamId(), Math.max(0, grant.deadlineMillis() - nowMillis));
    }
}
