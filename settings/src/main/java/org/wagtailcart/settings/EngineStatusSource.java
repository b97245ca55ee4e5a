package org.wagtailcart.settings;

import java.util.Optional;

/** What the fleet knows of engines, for the check that every model keeps an engine. */
public interface EngineStatusSource {
    /** Every engine stays and serves what the tree says. */
    EngineStatusSource ALL_ACTIVE = new EngineStatusSource() {
        @Override
        public boolean isInactive(String upstreamId) {
            return false;
        }

        @Override
        public Optional<String> orderedModel(String upstreamId) {
            return Optional.empty();
        }

        @Override
        public boolean hasOrderInProgress(String upstreamId) {
            return false;
        }
    };

    /** Returns whether the upstream takes no new work for good or until it is resumed. */
    boolean isInactive(String upstreamId);

    /** Returns the model of the latest order, empty when none was issued. */
    Optional<String> orderedModel(String upstreamId);

    /** Returns whether an order of the upstream is started and not finished, and the upstream is not out for good. */
    boolean hasOrderInProgress(String upstreamId);
}
