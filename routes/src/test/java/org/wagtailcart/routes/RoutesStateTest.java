package org.wagtailcart.routes;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a table that is replaced by one of the same or a lower version, and against one that a snapshot loses.
 * The oracle is the first content of the highest version.
 */
class RoutesStateTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theFirstContentOfTheHighestVersionIsInForceAcrossRestarts(long seed) {
        Random random = new Random(seed);
        RoutesState state = new RoutesState();
        long version = 0;
        String content = "";
        for (int step = 0; step < 200; step++) {
            long offered = random.nextInt(60);
            String text = "v" + offered + "-" + step;
            RoutesReplaced result =
                    state.apply(new ReplaceRoutes(Tables.table(offered), text.getBytes(StandardCharsets.UTF_8)));
            if (offered > version) {
                version = offered;
                content = text;
            }
            assertThat(result.version()).isEqualTo(version);
            if (random.nextInt(10) == 0) {
                RoutesState restarted = new RoutesState();
                restarted.restore(state.snapshot());
                state = restarted;
            }
            assertThat(state.table().version()).isEqualTo(version);
            assertThat(new String(state.document().document(), StandardCharsets.UTF_8))
                    .isEqualTo(content);
        }
        assertThat(IntStream.of((int) version).max().orElse(0)).isGreaterThan(50);
    }
}
