package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against needless requests to other failure domains, and against a slow near replica that keeps all requests.
 */
class ReplicaPlacementTest {
    @ParameterizedTest
    @CsvSource({
        // requests near, latency near, requests far, latency far, chosen
        "0, 20, 0, 20, near",
        "3, 20, 0, 20, near",
        "5, 20, 0, 20, far",
        "12, 20, 0, 20, far",
        "0, 100, 0, 20, far",
        "0, 20, 6, 15, near",
    })
    void aNearReplicaServesUntilItIsSlowerThanAFarOne(
            int nearRequests, double nearMillis, int farRequests, double farMillis, String chosen) {
        List<ReplicaCandidate> replicas = List.of(
                new ReplicaCandidate("near", "fes", 6, nearRequests, nearMillis, false),
                new ReplicaCandidate("far", "rabat", 6, farRequests, farMillis, false));
        assertThat(ReplicaPlacement.choose(replicas, "fes").orElseThrow().id()).isEqualTo(chosen);
    }

    @ParameterizedTest
    @CsvSource({
        // near is slow, requests far, chosen
        "false, 0, near",
        "true, 5, far",
        "true, 6, near",
    })
    void aSlowReplicaServesOnlyIfNoOtherHasAFreeSlot(boolean nearSlow, int farRequests, String chosen) {
        List<ReplicaCandidate> replicas = List.of(
                new ReplicaCandidate("near", "fes", 6, 0, 20, nearSlow),
                new ReplicaCandidate("far", "rabat", 6, farRequests, 20, false));
        assertThat(ReplicaPlacement.choose(replicas, "fes").orElseThrow().id()).isEqualTo(chosen);
    }
}
