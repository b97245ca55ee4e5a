package org.wagtailcart.policy.share;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Weighted max-min fair allocation of a capacity by water filling: a claim below the common level is met in full, and
 * what it leaves is divided among the others by weight. Stateless.
 */
public final class FairShare {
    private FairShare() {}

    /**
     * Demand of one workspace.
     *
     * @param workspace the workspace
     * @param costPerSecond cost that it asks for
     * @param weight its weight, 1 for an ordinary workspace
     */
    public record Claim(String workspace, double costPerSecond, double weight) {
        double costPerWeight() {
            return costPerSecond / weight;
        }
    }

    /** Returns the largest cost for each unit of weight; infinite if the capacity meets all claims. */
    public static double level(double capacity, List<Claim> claims) {
        List<Claim> ascending = claims.stream()
                .sorted(Comparator.comparing(Claim::costPerWeight))
                .toList();
        double remaining = Math.max(0, capacity);
        double weight = claims.stream().mapToDouble(Claim::weight).sum();
        for (Claim claim : ascending) {
            if (claim.costPerSecond() * weight > remaining * claim.weight()) {
                return remaining / weight;
            }
            remaining -= claim.costPerSecond();
            weight -= claim.weight();
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Returns the fraction to admit of each workspace that asks for more than its share. */
    public static Map<String, Double> admitFractions(double capacity, List<Claim> claims) {
        double level = level(capacity, claims);
        return claims.stream()
                .filter(claim -> claim.costPerWeight() > level)
                .collect(Collectors.toMap(Claim::workspace, claim -> level / claim.costPerWeight()));
    }
}
