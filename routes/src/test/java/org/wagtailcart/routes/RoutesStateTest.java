package org.wagtailcart.routes;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.policy.capacity.ReplicaLimits;
import org.wagtailcart.wire.MessageCodec;
import org.wagtailcart.wire.MessageType;
import org.wagtailcart.workspace.KeyDigest;
import org.wagtailcart.workspace.PresentedKey;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceAuthenticator;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Guards against a table that is replaced by one of the same or a lower version, and against one that a snapshot loses.
 * The oracle is the first content of the highest version.
 */
class RoutesStateTest {
    private record OldRoute(
            String name,
            String hostName,
            String pathPrefix,
            RouteKind kind,
            long timeoutMillis,
            long targetLatencyMillis,
            int priority,
            List<TrafficSplit> splits,
            int maxAttempts,
            boolean prefixAffinity,
            boolean resumable,
            long gapTargetMillis) {}

    private record OldServiceSpec(String name, String healthPath, int maxConnections, @Nullable EngineSpec engine) {}

    private record OldRouteTable(
            long version, List<OldRoute> routes, List<OldServiceSpec> services, RequestLimits limits) {}

    private record OldReplaceRoutes(OldRouteTable table, byte[] document) {}

    /** Guards against a snapshot or log entry of the version before workspaces that cannot be read after an upgrade. */
    @Test
    void aTableWrittenBeforeWorkspacesNeedsNoKeys() {
        OldRoute route = new OldRoute(
                "a", "h", "/a/", RouteKind.SAFE, 100, 100, 3, List.of(new TrafficSplit("stock", 1)), 2, true, true, 9);
        MessageCodec oldCodec = new MessageCodec(List.of(List.of(new MessageType(800, OldReplaceRoutes.class))));
        byte[] snapshot = oldCodec.encode(new OldReplaceRoutes(
                new OldRouteTable(
                        4,
                        List.of(route),
                        List.of(new OldServiceSpec("stock", "/health", 96, null)),
                        RequestLimits.DEFAULT),
                new byte[] {7}));
        RoutesState state = new RoutesState();
        state.restore(snapshot);
        assertThat(state.table().version()).isEqualTo(4);
        assertThat(state.table().workspaces()).isNull();
        assertThat(state.table().routes().get(0).open()).isFalse();
        assertThat(state.table().routes().get(0).gapTargetMillis()).isEqualTo(9);
        assertThat(new RouteIndex(state.table()).authenticator()).isEmpty();
        assertThat(state.table().services()).containsExactly(new ServiceSpec("stock", "/health", 96, null, null));
    }

    /** Guards against limits of replicas that a snapshot loses, so that orders end with a restart. */
    @Test
    void limitsOfReplicasSurviveARestart() {
        ServiceSpec service = new ServiceSpec("stock", "/health", 96, null, new ReplicaLimits(2, 8, 4_500));
        RoutesState state = new RoutesState();
        state.apply(new ReplaceRoutes(
                new RouteTable(2, List.of(), List.of(service), RequestLimits.DEFAULT, null), new byte[0]));
        RoutesState restarted = new RoutesState();
        restarted.restore(state.snapshot());
        assertThat(restarted.table().services()).containsExactly(service);
    }

    /** Guards against workspaces, their salt or the switch itself that a snapshot loses. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 80})
    void workspacesSurviveARestart(int count) {
        byte[] salt = KeyDigest.newSalt();
        List<Workspace> workspaces = IntStream.range(0, count)
                .mapToObj(i -> new Workspace("w" + i, List.of(KeyDigest.of(salt, "k" + i)), i % 2 == 0 ? i : null))
                .toList();
        RouteTable table =
                new RouteTable(2, List.of(), List.of(), RequestLimits.DEFAULT, new WorkspaceTable(salt, workspaces));
        RoutesState state = new RoutesState();
        state.apply(new ReplaceRoutes(table, new byte[0]));
        RoutesState restarted = new RoutesState();
        restarted.restore(state.snapshot());
        WorkspaceAuthenticator authenticator =
                new RouteIndex(restarted.table()).authenticator().orElseThrow();
        assertThat(authenticator.workspaces()).isEqualTo(workspaces);
        for (int i = 0; i < count; i++) {
            assertThat(authenticator
                            .decide(PresentedKey.of("k" + i), true, 0, RevocationPolicy.LENIENT)
                            .workspace())
                    .hasValue(workspaces.get(i));
        }
    }

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
