package org.wagtailcart.routes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.workspace.Workspace;

/** Guards against an invalid routing table that takes effect, and against the refusal of a valid one. */
class RouteTableValidatorTest {
    private static final TrafficSplit STOCK = new TrafficSplit("stock", 1);

    static Stream<Arguments> invalidTables() {
        Route valid = Tables.route("a", "h", "/a/", 100, STOCK);
        return Stream.of(
                Arguments.of(
                        "unknown service",
                        Tables.table(1, Tables.route("a", "h", "/a/", 100, new TrafficSplit("x", 1)))),
                Arguments.of(
                        "same host and path prefix", Tables.table(1, valid, Tables.route("b", "h", "/a/", 100, STOCK))),
                Arguments.of(
                        "zero weights",
                        Tables.table(1, Tables.route("a", "h", "/a/", 100, new TrafficSplit("stock", 0)))),
                Arguments.of("zero timeout", Tables.table(1, Tables.route("a", "h", "/a/", 0, STOCK))),
                Arguments.of("no splits", Tables.table(1, Tables.route("a", "h", "/a/", 100))),
                Arguments.of(
                        "path prefix without final slash", Tables.table(1, Tables.route("a", "h", "/a", 100, STOCK))),
                Arguments.of("zero version", Tables.table(0, valid)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidTables")
    void anInvalidTableIsRefused(String reason, RouteTable table) {
        WagtailcartException error =
                assertThrows(WagtailcartException.class, () -> RouteTableValidator.validate(table));
        assertThat(error.code()).isEqualTo(ResultCode.ROUTES_INVALID);
    }

    /** Guards against a key that authenticates as either of two workspaces, and an error that does not name them. */
    @Test
    void aKeyOfTwoWorkspacesIsRefused() {
        RouteTable table = Tables.withWorkspaces(
                new Workspace("hule", List.of("d-1", "d-2"), null), new Workspace("fida", List.of("d-3", "d-2"), 1));
        WagtailcartException error =
                assertThrows(WagtailcartException.class, () -> RouteTableValidator.validate(table));
        assertThat(error.code()).isEqualTo(ResultCode.ROUTES_INVALID);
        assertThat(error).hasMessageThat().contains("hule");
        assertThat(error).hasMessageThat().contains("fida");
        assertThat(error).hasMessageThat().doesNotContain("d-2");
    }

    /** Guards against a table of another source than the operator's JSON whose limits are out of range. */
    @Test
    void weightsAndQuotasOutOfRangeAreRefused() {
        List.of(
                        new Workspace("hule", List.of(), null, 0, null),
                        new Workspace("hule", List.of(), null, 1_001, null),
                        new Workspace("hule", List.of(), null, null, 0.0),
                        new Workspace("hule", List.of(), null, null, Double.NaN))
                .forEach(workspace -> assertThat(assertThrows(
                                WagtailcartException.class,
                                () -> RouteTableValidator.validate(Tables.withWorkspaces(workspace))))
                        .hasMessageThat()
                        .contains("hule"));
        RouteTableValidator.validate(Tables.withWorkspaces(new Workspace("hule", List.of(), null, 1_000, 0.1)));
    }

    /** Guards against a name that breaks or extends the header in which upstreams receive it. */
    @ParameterizedTest
    @ValueSource(strings = {"", " ", "a\r\nX-Other: b", "a\tb", " a", "a ", "h\u00fcle"})
    void aNameThatNoHeaderCarriesIsRefused(String name) {
        RouteTable table = Tables.withWorkspaces(new Workspace(name, List.of(), null));
        assertThat(assertThrows(WagtailcartException.class, () -> RouteTableValidator.validate(table))
                        .code())
                .isEqualTo(ResultCode.ROUTES_INVALID);
    }

    @Test
    void equalNamesAndNoWorkspacesPass() {
        RouteTableValidator.validate(Tables.withWorkspaces());
        RouteTableValidator.validate(Tables.withWorkspaces(
                new Workspace("a b", List.of("d-1", "d-1"), null), new Workspace("a b", List.of("d-2"), null)));
    }

    @Test
    void aValidTablePasses() {
        RouteTableValidator.validate(Tables.table(
                3,
                Tables.route("a", "h", "/a/", 100, STOCK, new TrafficSplit("desk", 9)),
                Tables.route("b", "other", "/a/", 100, STOCK)));
    }
}
