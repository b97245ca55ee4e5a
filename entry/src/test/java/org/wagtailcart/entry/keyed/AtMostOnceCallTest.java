package org.wagtailcart.entry.keyed;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wagtailcart.common.ResultCode;

class AtMostOnceCallTest {
    /**
     * Guards against a second run, a false "not run", a wrong answer, an answer that a repeat does not get, and a key that nobody can resolve any more, under
     * reordered, lost and repeated messages and crashes of entries, sidecars and the service.
     */
    @Property(tries = 4000, seed = "20261204")
    void runsAtMostOnceAndReportsActualOutcome(@ForAll long seed) {
        AtMostOnceSimulation world = new AtMostOnceSimulation(seed);
        world.run(250);
        List<Boolean> answered = List.of(world.answered("k0"), world.answered("k1"));
        List<AtMostOnceSimulation.Caller> last = world.runFaultFree();
        for (int i = 0; i < 2; i++) {
            AtMostOnceSimulation.Caller caller = last.get(i);
            assertThat(world.runs("k" + i)).isAtMost(1);
            if (answered.get(i)) {
                assertWithMessage("an answer that a caller got is replayed")
                        .that(caller.response)
                        .isPresent();
            }
            if (caller.response.isPresent()) {
                assertThat(world.runs("k" + i)).isEqualTo(1);
            } else {
                assertThat(caller.code).hasValue(ResultCode.OUTCOME_UNKNOWN);
            }
        }
    }
}
