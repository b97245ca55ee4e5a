package org.wagtailcart.bench;

import org.wagtailcart.common.SettingNames;
import org.wagtailcart.policy.health.HealthPolicy;
import org.wagtailcart.policy.routing.LoadAwareRouter;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RouterOptions;

/**
 * Policies compared. Each baseline replaces one decision of wagtailcart and keeps the others, so that a difference has
 * one cause.
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
    /** Knows the mix to come, the hidden limit and the true state of every upstream. */
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

    /** Returns the router of an entry. */
    Router router(Simulation simulation, int entry) {
        return new LoadAwareRouter(RouterOptions.defaults(), simulation.seed() * 31 + entry);
    }

    /** Returns whether the contender is a simple baseline that wagtailcart must not fall below. */
    boolean baseline() {
        return switch (this) {
            case ROUND_ROBIN, LEAST_IN_FLIGHT, FIXED_ROLES, FIXED_POWER -> true;
            case WAGTAILCART, INFORMED, EJECTION, NO_HEALTH -> false;
        };
    }

    /** Returns whether the contender is run only where services fail. */
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

    /** Source of the number of grants. */
    enum PowerMode {
        LEARNED,
        /** The limit in force when the site was built. */
        FIXED,
        KNOWN
    }

    /** Source of role changes. */
    enum RoleMode {
        PLANNED,
        FIXED,
        KNOWN
    }
}
