package org.wagtailcart.control;

import java.util.List;
import org.wagtailcart.control.client.PowerGrant;

/**
 * Policy on the leader that decides which commands and power grants the control group issues on its own. Called by one
 * thread at a time.
 */
public interface FleetPlanner {
    /** Planner that issues no commands and no grants. */
    FleetPlanner NONE = new FleetPlanner() {
        @Override
        public List<Object> plan(FleetSnapshot observation, long nowMillis) {
            return List.of();
        }

        @Override
        public List<PowerGrant> grants(FleetSnapshot observation, long nowMillis) {
            return List.of();
        }
    };

    /**
     * Returns the commands to propose now.
     *
     * @param nowMillis monotonic time
     */
    List<Object> plan(FleetSnapshot observation, long nowMillis);

    /**
     * Returns the power grants to issue now.
     *
     * @param nowMillis monotonic time
     */
    List<PowerGrant> grants(FleetSnapshot observation, long nowMillis);
}
