package org.wagtailcart.settings.process;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Guards the parsing and validation of the INI file of a process. */
class ProcessSettingsTest {
    private static final String COMPLETE =
            """
            # a comment
            [process]
            id = fes-1
            host = host-1
            failure-domain = fes
            regions = fes:north, rabat:south
            roles = entry, control
            data-folder = /var/lib/wagtailcart

            [listen]
            peer = 10.0.0.1:7000
            caller = 7001
            operator = 127.0.0.1:7002

            [control]
            members = c1@10.0.0.1:7000, c2@10.0.0.2:7000

            [operator]
            token-file = token

            [log]
            level = debug
            format = json

            [entry]
            on-control-loss = serve-idempotent
            shutdown-grace-millis = 250
            """;

    /** Guards against a key read from the wrong section, and a port without an IP that is not bound to loopback. */
    @Test
    void readsEveryKey() {
        ProcessSettings settings = ProcessSettings.parse(COMPLETE);
        assertThat(settings.id()).isEqualTo("fes-1");
        assertThat(settings.host()).isEqualTo("host-1");
        assertThat(settings.failureDomain()).isEqualTo("fes");
        assertThat(settings.roles()).containsExactly(ProcessRole.ENTRY, ProcessRole.CONTROL);
        assertThat(settings.dataFolder()).hasValue("/var/lib/wagtailcart");
        assertThat(settings.peerListener()).hasValue(new Address("10.0.0.1", 7000));
        assertThat(settings.callerListener()).hasValue(new Address("127.0.0.1", 7001));
        assertThat(settings.regions().regionOf("rabat")).isEqualTo("south");
        assertThat(settings.members()).hasSize(2);
        assertThat(settings.members().get(1).toString()).isEqualTo("c2@10.0.0.2:7000");
        assertThat(settings.operatorTokenFile()).hasValue("token");
        assertThat(settings.logLevel()).isEqualTo(LogLevel.DEBUG);
        assertThat(settings.logFormat()).isEqualTo(LogFormat.JSON);
        assertThat(settings.controlLossPolicy()).isEqualTo(ControlLossPolicy.SERVE_IDEMPOTENT);
        assertThat(settings.shutdownGraceMillis()).isEqualTo(250);
    }

    /** Guards against invalid input that is accepted, or an error without the section, key, value or expected value. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            id = fes-1                  | id =                          | key "id" has the value ""
            id = fes-1                  | id = a b                      | "a b"; expected 1 to 64 letters
            id = fes-1                  |                               | key "id" is missing
            host = host-1               | host = /                      | key "host" has the value "/"
            regions = fes:north, rabat:south | regions = fes              | "fes"; expected a comma-separated list of FAILURE-DOMAIN:REGION
            regions = fes:north, rabat:south | regions = fes:a, fes:b     | each failure domain once
            roles = entry, control      | roles = entry, router         | "entry, router"; expected a comma-separated list of entry, control, sidecar
            roles = entry, control      | roles = entry, entry          | expected each role once
            roles = entry, control      | roles = ,                     | expected a comma-separated list
            data-folder = /var/lib/wagtailcart |                        | [process]: key "data-folder" is missing
            peer = 10.0.0.1:7000        |                               | [listen]: key "peer" is missing
            peer = 10.0.0.1:7000        | peer = host:7000              | "host:7000"; expected IP:PORT
            peer = 10.0.0.1:7000        | peer = 10.0.0.1:70000         | "10.0.0.1:70000"
            peer = 10.0.0.1:7000        | peer = 10.0.0.256:7000        | "10.0.0.256:7000"
            peer = 10.0.0.1:7000        | peer = 7001                   | "127.0.0.1:7001" appears twice
            caller = 7001               | caller = 0                    | [listen]: key "caller" has the value "0"
            caller = 7001               |                               | [listen]: key "caller" is missing
            operator = 127.0.0.1:7002   |                               | [listen]: key "operator" is missing
            c1@10.0.0.1:7000            | 10.0.0.1:7000                 | expected a comma-separated list of id@IP:PORT
            c1@10.0.0.1:7000            | c2@10.0.0.1:7000              | each id and address once
            c1@10.0.0.1:7000            | c3@10.0.0.2:7000              | each id and address once
            members =                   | member =                      | key "member" with the value
            token-file = token          |                               | [operator]: key "token-file" is missing
            level = debug               | level = trace                 | "trace"; expected one of debug, info, warning, error
            format = json               | format = xml                  | "xml"; expected one of text, json
            on-control-loss = serve-idempotent | on-control-loss = ignore | "ignore"; expected one of refuse, serve-idempotent
            shutdown-grace-millis = 250 | shutdown-grace-millis = -1    | "-1"; expected an integer from 0 to 600000
            shutdown-grace-millis = 250 | shutdown-grace-millis = 600001 | "600001"
            [log]                       | [logs]                        | section [logs] is unknown
            # a comment                 | id = x                        | key "id" with the value "x" stands outside a section
            level = debug               | format = text                 | key "format" appears twice
            """)
    void rejectsInvalidSettings(String line, String replacement, String message) {
        String text = COMPLETE.replace(line, replacement == null ? "" : replacement);
        assertThat(text).isNotEqualTo(COMPLETE);
        WagtailcartException refused = assertThrows(WagtailcartException.class, () -> ProcessSettings.parse(text));
        assertThat(refused.code()).isEqualTo(ResultCode.INVALID_SETTINGS_FILE);
        assertThat(refused).hasMessageThat().contains(message);
    }

    private static final String GATEWAY =
            """
            [process]
            id = front-1
            roles = gateway
            [listen]
            caller = 10.1.0.30:8149
            ready = 10.1.0.30:8141
            [control]
            seeds = 10.1.0.31:8144,10.2.0.35:8144
            peer-port = 7380
            tolerated-losses = 3
            [retry]
            ratio = 0.2
            reserve = 52
            window-seconds = 10
            [platform]
            host-list = 10.200.0.100:8142
            """;

    /** Guards against seeds that keep their own port: members listen for each other on the peer port. */
    @Test
    void seedsUsePeerPort() {
        ProcessSettings settings = ProcessSettings.parse(GATEWAY);
        assertThat(settings.discovery().seeds())
                .containsExactly(new Address("10.1.0.31", 7380), new Address("10.2.0.35", 7380))
                .inOrder();
        assertThat(settings.discovery().mayBootstrap()).isFalse();
        assertThat(settings.retryBudget()).isEqualTo(new RetryBudgetSettings(0.2, 52, 10_000));
        assertThat(settings.platform().orElseThrow().orderLeaseMillis()).isEqualTo(3_000);
    }

    /** Guards against a template that renders empty values where the platform gives none, and is refused for them. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | false | 5000",
                "'[workspaces]\nstrict-revoke =\nrevoke-limit-millis = \n' | false | 5000",
                "'[workspaces]\nstrict-revoke = true\nrevoke-limit-millis =\n' | true | 5000",
                "'[workspaces]\nstrict-revoke = false\nrevoke-limit-millis = 0\n' | false | 0",
                "'[workspaces]\nrevoke-limit-millis = 2500\n' | false | 2500"
            })
    void emptyWorkspaceSettingsAreNotSet(String section, boolean strictRevoke, long limitMillis) {
        assertThat(ProcessSettings.parse(GATEWAY + section).workspaces())
                .isEqualTo(new WorkspaceSettings(strictRevoke, limitMillis));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"strict-revoke = yes", "revoke-limit-millis = -1", "revoke-limit-millis = 5s", "revoke = true"})
    void invalidWorkspaceSettingsAreRefused(String line) {
        WagtailcartException error = assertThrows(
                WagtailcartException.class, () -> ProcessSettings.parse(GATEWAY + "[workspaces]\n" + line + "\n"));
        assertThat(error.code()).isEqualTo(ResultCode.INVALID_SETTINGS_FILE);
    }

    /** Guards against a control group that is sized for other losses than its deployment tolerates. */
    @ParameterizedTest
    @CsvSource({"found = false, 2", "tolerated-losses = 1, 1", "tolerated-losses = 4, 4"})
    void toleratedLossesDefaultToThoseOfFiveVoters(String line, int expected) {
        ProcessSettings settings = ProcessSettings.parse(GATEWAY.replace("tolerated-losses = 3", line));
        assertThat(settings.discovery().toleratedLosses()).isEqualTo(expected);
    }

    /** Guards against a process that does not know the limits of its deployment, or fails over a value of another form. */
    @ParameterizedTest
    @CsvSource({"1, 8.0, 1, 8000", "4, 5, 4, 5000", "0, 0.0, 2, -1", "'', '', 2, -1", "many, 1e3, 2, -1"})
    void environmentHoldsDefaults(String losses, String limitSeconds, int expectedLosses, long expectedLimitMillis) {
        ProcessSettings settings = ProcessSettings.parse(
                GATEWAY.replace("tolerated-losses = 3", ""),
                Map.of("WAGTAILCART_TOLERATED_LOSSES", losses, "WAGTAILCART_SHUTDOWN_LIMIT_SECONDS", limitSeconds));
        assertThat(settings.discovery().toleratedLosses()).isEqualTo(expectedLosses);
        assertThat(settings.shutdownLimitMillis().orElse(-1)).isEqualTo(expectedLimitMillis);
    }

    /** Guards against an invalid or missing gateway setting that is accepted. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "peer-port = 7380 | peer-port = 0",
                "peer-port = 7380 | found = true",
                "tolerated-losses = 3 | tolerated-losses = 0",
                "seeds = 10.1.0.31:8144,10.2.0.35:8144 | seeds = somewhere",
                "ratio = 0.2 | ratio = 1.5",
                "reserve = 52 | reserve = -1",
                "host-list = 10.200.0.100:8142 | host-list = list",
                "ready = 10.1.0.30:8141 | ",
                "host-list = 10.200.0.100:8142 | "
            })
    void rejectsInvalidGatewaySettings(String good, String bad) {
        String text = GATEWAY.replace(good, bad == null ? "" : bad);
        WagtailcartException error = assertThrows(WagtailcartException.class, () -> ProcessSettings.parse(text));
        assertThat(error.code()).isEqualTo(ResultCode.INVALID_SETTINGS_FILE);
        assertThat(error).hasMessageThat().contains("section [");
    }

    /** Guards against duties that are lost, and against a template with empty values that cannot be read. */
    @ParameterizedTest
    @CsvSource({
        "'', '', '', '', 5000, 10000",
        "drain, 5, 10, drain, 5000, 10000",
        "'drain, report ', 2.5, 4, drain;report, 2500, 4000",
        "report, '', '', report, 5000, 10000"
    })
    void dutiesAndUsageReportsAreRead(
            String duties, String window, String late, String read, long windowMillis, long lateMillis) {
        ProcessSettings settings = ProcessSettings.parse(COMPLETE
                + "\n[platform]\nhost-list = 10.0.0.9:80\nduties = " + duties + "\nusage-window-seconds = " + window
                + "\nusage-late-seconds = " + late + "\n");
        PlatformSettings platform = settings.platform().orElseThrow();
        assertThat(String.join(";", platform.duties())).isEqualTo(read);
        assertThat(platform.usageReports()).isEqualTo(new UsageReportSettings(windowMillis, lateMillis));
    }
}
