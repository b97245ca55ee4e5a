package org.wagtailcart.control;

import java.util.List;
import org.wagtailcart.control.client.PowerGrant;

/** Decides on the leader which commands the system issues by itself. Called by one thread at a time. */
public interface FleetPlanner {
    /** Plans nothing and grants nothing. */
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
     * Returns the power grants to hand out now.
     *
     * @param nowMillis monotonic time
     */
    List<PowerGrant> grants(FleetSnapshot observation, long nowMillis);
}
