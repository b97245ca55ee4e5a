package org.wagtailcart.policy.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against allocations that starve a workspace, exceed the capacity or leave a part of it unused. */
class FairShareTest {
    private static List<FairShare.Claim> claims(String costs) {
        double[] values =
                Stream.of(costs.split(" ", -1)).mapToDouble(Double::parseDouble).toArray();
        return IntStream.range(0, values.length)
                .mapToObj(i -> new FairShare.Claim("w" + i, values[i], 1))
                .toList();
    }

    @ParameterizedTest
    @CsvSource({
        "100, 10 20 30, 10 20 30",
        "60, 10 20 30, 10 20 30",
        "50, 10 20 30, 10 20 20",
        "30, 10 20 30, 10 10 10",
        "90, 5 400 1, 5 84 1",
        "0, 10 20, 0 0",
    })
    void eachClaimIsMetUpToTheCommonLevel(double capacity, String asked, String expected) {
        List<FairShare.Claim> claims = claims(asked);
        Map<String, Double> fractions = FairShare.admitFractions(capacity, claims);
        double[] admitted = claims.stream()
                .mapToDouble(claim -> claim.costPerSecond() * fractions.getOrDefault(claim.workspace(), 1.0))
                .toArray();
        double[] wanted = Stream.of(expected.split(" ", -1))
                .mapToDouble(Double::parseDouble)
                .toArray();
        assertThat(admitted).usingTolerance(1e-9).containsExactly(wanted).inOrder();
    }

    /** Guards against a large workspace that is starved by a hundred small ones. */
    @Test
    void hundredSmallWorkspacesLeaveTheLargeOneItsShare() {
        List<FairShare.Claim> claims = Stream.concat(
                        Stream.of(new FairShare.Claim("large", 1_000, 1)),
                        IntStream.range(0, 100).mapToObj(i -> new FairShare.Claim("w" + i, 1, 1)))
                .toList();
        assertThat(FairShare.admitFractions(300, claims)).containsExactly("large", 0.2);
    }

    @Test
    void shareIsProportionalToTheWeight() {
        Map<String, Double> fractions = FairShare.admitFractions(
                90, Arrays.asList(new FairShare.Claim("a", 100, 2), new FairShare.Claim("b", 100, 1)));
        assertThat(fractions.get("a")).isWithin(1e-9).of(0.6);
        assertThat(fractions.get("b")).isWithin(1e-9).of(0.3);
    }

    @Test
    void withoutClaimsNothingIsLimited() {
        assertThat(FairShare.admitFractions(10, List.of())).isEmpty();
    }
}
