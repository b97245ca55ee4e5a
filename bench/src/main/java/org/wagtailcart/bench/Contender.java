package org.wagtailcart.bench;

import org.wagtailcart.common.SettingNames;
import org.wagtailcart.policy.health.HealthPolicy;
import org.wagtailcart.policy.routing.LoadAwareRouter;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RouterOptions;

/**
 * A set of policies under comparison. Each baseline replaces one decision of {@link #WAGTAILCART} and keeps the others,
 * so that a difference in results has one cause.
 */
enum Contender {
    WAGTAILCART(PowerMode.LEARNED, RoleMode.PLANNED),
    ROUND_ROBIN(PowerMode.LEARNED, RoleMode.PLANNED) {
        @Override
        Router router(Simulation simulation, int entry) {
            return BaselineRouter.roundRobin();
        }
    },
    LEAST_IN_FLIGHT(PowerMode.LEARNED, RoleMode.PLANNED) {
        @Override
        Router router(Simulation simulation, int entry) {
            return BaselineRouter.leastInFlight();
        }
    },
    FIXED_ROLES(PowerMode.LEARNED, RoleMode.FIXED),
    FIXED_POWER(PowerMode.FIXED, RoleMode.PLANNED),
    /** Upper reference: reads the future request mix, the hidden power limit and the true state of every upstream. */
    INFORMED(PowerMode.KNOWN, RoleMode.KNOWN) {
        @Override
        Router router(Simulation simulation, int entry) {
            return simulation.informedRouter();
        }
    },
    EJECTION(PowerMode.LEARNED, RoleMode.PLANNED) {
        @Override
        Router router(Simulation simulation, int entry) {
            return loadAware(simulation, entry, HealthPolicy.EJECTION);
        }
    },
    NO_HEALTH(PowerMode.LEARNED, RoleMode.PLANNED) {
        @Override
        Router router(Simulation simulation, int entry) {
            return loadAware(simulation, entry, HealthPolicy.NONE);
        }
    };

    final PowerMode power;
    final RoleMode roles;

    Contender(PowerMode power, RoleMode roles) {
        this.power = power;
        this.roles = roles;
    }

    /** Returns a router for the entry with the given index. */
    Router router(Simulation simulation, int entry) {
        return new LoadAwareRouter(RouterOptions.defaults(), simulation.seed() * 31 + entry);
    }

    /** Returns whether this is a simple baseline whose goodput {@link #WAGTAILCART} must reach. */
    boolean baseline() {
        return switch (this) {
            case ROUND_ROBIN, LEAST_IN_FLIGHT, FIXED_ROLES, FIXED_POWER -> true;
            case WAGTAILCART, INFORMED, EJECTION, NO_HEALTH -> false;
        };
    }

    /** Returns whether this differs in health tracking only, and so runs only in the scenario with failing services. */
    boolean healthOnly() {
        return switch (this) {
            case EJECTION, NO_HEALTH -> true;
            case WAGTAILCART, ROUND_ROBIN, LEAST_IN_FLIGHT, FIXED_ROLES, FIXED_POWER, INFORMED -> false;
        };
    }

    String label() {
        return SettingNames.of(this);
    }

    private static Router loadAware(Simulation simulation, int entry, HealthPolicy health) {
        return new LoadAwareRouter(RouterOptions.defaults().withHealth(health), simulation.seed() * 31 + entry);
    }

    /** Source of the number of power grants. */
    enum PowerMode {
        /** Estimated by {@code PowerController} from engine reports. */
        LEARNED,
        /** The power limit at the start of the run. */
        FIXED,
        /** The true power limit of the scenario, the lower of the one now and the one 6 s ahead. */
        KNOWN
    }

    /** Source of role changes. */
    enum RoleMode {
        /** Planned by {@code RolePlanner} from the observed demand. */
        PLANNED,
        /** No role changes. */
        FIXED,
        /** Computed from the phases of the scenario, ahead of each shift. */
        KNOWN
    }
}
