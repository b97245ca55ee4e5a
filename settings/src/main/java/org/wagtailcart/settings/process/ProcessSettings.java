package org.wagtailcart.settings.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.Regions;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/**
 * Settings of one process, parsed from its INI file.
 *
 * @param id name of the process
 * @param host host it runs on
 * @param failureDomain failure domain it runs in
 * @param regions regions of the failure domains, one for all when none is set
 * @param roles roles it runs, at least one
 * @param dataFolder folder for files; present for the control role
 * @param peerListener listener for other processes; present for the control and sidecar roles
 * @param callerListener listener for callers; present for the entry role
 * @param readinessListener listener for the readiness probes of a load balancer; present for the gateway role
 * @param metricsListener listener for metrics as text, empty for none
 * @param operatorListener listener for operators; present for the control role unless discovery is
 *     enabled
 * @param members control members; empty only with discovery
 * @param discovery discovery of control members that are not listed
 * @param retryBudget retry budget that all gateways share
 * @param platform addresses and limits of the users' platform, empty without one
 * @param workspaces settings for the API keys of workspaces
 * @param operatorTokenFile file with the operators' bearer token; present with an operator listener
 * @param logLevel lowest level of logged events
 * @param logFormat format of a log line
 * @param controlLossPolicy policy of an entry without confirmed settings
 * @param shutdownGraceMillis time for which an entry keeps its listener open after it reports not ready
 * @param shutdownLimitMillis time after SIGTERM at which the process is killed, empty if it is not
 */
public record ProcessSettings(
        String id,
        String host,
        String failureDomain,
        Regions regions,
        Set<ProcessRole> roles,
        Optional<String> dataFolder,
        Optional<Address> peerListener,
        Optional<Address> callerListener,
        Optional<Address> readinessListener,
        Optional<Address> metricsListener,
        Optional<Address> operatorListener,
        List<MemberAddress> members,
        ControlDiscovery discovery,
        RetryBudgetSettings retryBudget,
        Optional<PlatformSettings> platform,
        WorkspaceSettings workspaces,
        Optional<String> operatorTokenFile,
        LogLevel logLevel,
        LogFormat logFormat,
        ControlLossPolicy controlLossPolicy,
        long shutdownGraceMillis,
        OptionalLong shutdownLimitMillis) {
    /**
     * Parses the text of an INI file.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_SETTINGS_FILE}; the message names the
     *     section, key, value and expected value
     */
    public static ProcessSettings parse(String text) {
        return parse(text, Map.of());
    }

    /**
     * Parses the text of an INI file.
     *
     * @param environment environment variables, some of which are defaults of keys
     * @throws WagtailcartException with {@link ResultCode#INVALID_SETTINGS_FILE}; the message names the
     *     section, key, value and expected value
     */
    public static ProcessSettings parse(String text, Map<String, String> environment) {
        return new ProcessSettingsReader(text, environment).read();
    }
}
