package org.wagtailcart.entry.keyed;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wagtailcart.common.ResultCode;

/** Guards against violations of the at-most-once guarantee under faults, in a simulation of the whole protocol. */
class AtMostOnceCallTest {
    /**
     * Guards against a second run, a false "not run", a wrong response, a recorded response that a repeat does not
     * receive, and a key that can no longer be resolved. The faults are reordered, lost and repeated messages and
     * crashes of entries, sidecars and the service.
     */
    @Property(tries = 4000, seed = "20261204")
    void runsAtMostOnceAndReportsActualOutcome(@ForAll long seed) {
        AtMostOnceSimulation simulation = new AtMostOnceSimulation(seed);
        simulation.run(250);
        List<Boolean> answered = List.of(simulation.answered("k0"), simulation.answered("k1"));
        List<AtMostOnceSimulation.Caller> last = simulation.runFaultFree();
        for (int i = 0; i < 2; i++) {
            AtMostOnceSimulation.Caller caller = last.get(i);
            assertThat(simulation.runs("k" + i)).isAtMost(1);
            if (answered.get(i)) {
                assertWithMessage("replay of a response that an earlier caller received")
                        .that(caller.response)
                        .isPresent();
            }
            if (caller.response.isPresent()) {
                assertThat(simulation.runs("k" + i)).isEqualTo(1);
            } else {
                assertThat(caller.code).hasValue(ResultCode.OUTCOME_UNKNOWN);
            }
        }
    }
}
