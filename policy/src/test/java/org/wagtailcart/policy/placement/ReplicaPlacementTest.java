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
                new ReplicaCandidate("near", "fes", 6, nearRequests, nearMillis),
                new ReplicaCandidate("far", "rabat", 6, farRequests, farMillis));
        assertThat(ReplicaPlacement.choose(replicas, "fes").orElseThrow().id()).isEqualTo(chosen);
    }
}
