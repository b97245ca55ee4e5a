package org.wagtailcart.settings;

import java.util.Optional;

/**
 * Status of the engines in the fleet, for the checks that every model keeps an engine and that a change does not affect
 * an order in progress.
 */
public interface EngineStatusSource {
    /** Reports every engine as active, without orders, so that it serves the model that the tree sets. */
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

    /** Returns whether the upstream takes no new requests, permanently or until it is resumed. */
    boolean isInactive(String upstreamId);

    /** Returns the model of the latest order, empty when none was issued. */
    Optional<String> orderedModel(String upstreamId);

    /** Returns whether an upstream that is not permanently out of service has a started, unfinished order. */
    boolean hasOrderInProgress(String upstreamId);
}
