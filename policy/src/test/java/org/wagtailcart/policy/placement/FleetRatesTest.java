package org.wagtailcart.policy.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against differences in speed that are only noise, and against rates that wrong samples make extreme. */
class FleetRatesTest {
    /** Guards against a uniform fleet that is served differently than without learned rates. */
    @ParameterizedTest
    @ValueSource(doubles = {50, 41, 59, 36.7, 70})
    void aUniformFleetHasOneRate(double tokensPerMilli) {
        FleetRates rates =
                FleetRates.of(Map.of("a", tokensPerMilli, "b", 0.93 * tokensPerMilli, "c", 1.07 * tokensPerMilli));
        assertThat(rates.tokensPerMilli("a")).isEqualTo(FleetRates.DEFAULT_TOKENS_PER_MILLI);
        assertThat(rates.speed("a")).isEqualTo(1);
        assertThat(rates.speed("unknown")).isEqualTo(1);
    }

    /** Guards against estimates that ignore a third of the engines being 2.4 times as fast. */
    @Test
    void enginesOfTwoSpeedsKeepTheirOwnRates() {
        FleetRates rates = FleetRates.of(Map.of("a", 35.8, "b", 35.0, "c", 86.9));
        assertThat(rates.speed("a")).isEqualTo(1);
        assertThat(rates.speed("b")).isEqualTo(1);
        assertThat(rates.speed("c")).isWithin(0.01).of(86.9 / 35.8);
        assertThat(rates.speed("new")).isEqualTo(1);
    }

    /** Guards against a fast engine that never gets a prompt because it counts as slow until it has one. */
    @Test
    void anUnknownEngineCompetesAsTheFastest() {
        FleetRates rates = FleetRates.of(Map.of("a", 36.0, "b", 36.0, "c", 90.0));
        assertThat(rates.prefillSpeed("new")).isEqualTo(2.5);
        assertThat(rates.prefillSpeed("a")).isEqualTo(1);
        assertThat(FleetRates.of(Map.of("a", 36.0, "b", 36.0, "c", 37.0)).prefillSpeed("new"))
                .isEqualTo(1);
    }

    /** Guards against the first engine with samples determining the rate assumed for all others. */
    @Test
    void oneEngineDoesNotDetermineTheRateOfTheService() {
        FleetRates rates = FleetRates.of(Map.of("c", 86.9));
        assertThat(rates.tokensPerMilli("other")).isEqualTo(50);
        assertThat(rates.tokensPerMilli("c")).isWithin(0.01).of(86.9);
    }

    /** Guards against an engine that wrong samples exclude, or make take everything. */
    @Test
    void ratesAreClampedRelativeToTheMedian() {
        FleetRates rates = FleetRates.of(Map.of("a", 50.0, "b", 50.0, "c", 1.0, "d", 900.0, "e", 50.0));
        assertThat(rates.tokensPerMilli("c")).isEqualTo(12.5);
        assertThat(rates.tokensPerMilli("d")).isEqualTo(200);
    }

    /** Guards against a uniform fleet that is served as one of two speeds because of a few engines with hidden queues. */
    @Test
    void fewDifferingEnginesDoNotMakeAFleetUnequal() {
        FleetRates rates = FleetRates.of(Map.of(
                "a", 45.0, "b", 45.0, "c", 20.0, "d", 44.0, "e", 46.0, "f", 45.0, "g", 43.0, "h", 45.0, "i", 80.0));
        assertThat(rates.speed("c")).isEqualTo(1);
        assertThat(rates.speed("i")).isEqualTo(1);
    }

    /** Guards against a log entry a second for a median that changes with the load. */
    @ParameterizedTest
    @CsvSource({
        "50, 50, 50, 50, 36, 37, 36, 36, false",
        "50, 50, 50, 120, 36, 37, 36, 80, false",
        "50, 50, 50, 50, 50, 50, 50, 120, true",
        "50, 50, 50, 120, 50, 50, 50, 50, true",
        "50, 50, 50, 120, 50, 50, 120, 50, true",
        "50, 50, 20, 120, 50, 50, 120, 20, true"
    })
    void onlyAnEngineThatBecomesSlowerOrFasterIsAChange(
            double a, double b, double c, double d, double a2, double b2, double c2, double d2, boolean changed) {
        FleetRates.Summary before =
                FleetRates.of(Map.of("a", a, "b", b, "c", c, "d", d)).summary();
        FleetRates.Summary after =
                FleetRates.of(Map.of("a", a2, "b", b2, "c", c2, "d", d2)).summary();
        assertThat(after.differsFrom(before)).isEqualTo(changed);
    }
}
