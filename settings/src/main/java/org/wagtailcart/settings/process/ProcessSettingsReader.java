package org.wagtailcart.settings.process;

import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.Regions;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.settings.IniText;
import org.wagtailcart.settings.SettingsKey;

/** Parser and validator of the INI file with the settings of a process. */
final class ProcessSettingsReader {
    private static final Map<String, List<String>> KEYS_BY_SECTION = keysBySection();
    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";
    private static final String NAME_DESCRIPTION = "1 to 64 letters, digits, '.', '_' or '-'";
    private static final String LOOPBACK_PREFIX = "127.0.0.1:";
    private static final String LISTENER_DESCRIPTION = "IP:PORT, or PORT to listen on the loopback address only";

    // A load balancer that probes every second sees two failed probes within this time.
    private static final String DEFAULT_SHUTDOWN_GRACE_MILLIS = "3000";
    private static final String DEFAULT_RETRY_RATIO = "0.1";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String DEFAULT_USAGE_WINDOW_SECONDS = "5";
    private static final String DEFAULT_USAGE_LATE_SECONDS = "10";
    private static final int MAX_SHUTDOWN_GRACE_MILLIS = 600_000;
    private static final int MAX_TOLERATED_LOSSES = 1_000;

    private static final String WORKSPACES = "workspaces";
    private static final String STRICT_REVOKE = "strict-revoke";
    private static final String REVOKE_LIMIT_MILLIS = "revoke-limit-millis";
    /** Longer than an election and a move to another control member, so that neither refuses requests. */
    private static final String DEFAULT_REVOKE_LIMIT_MILLIS = "5000";

    private static final long MAX_REVOKE_LIMIT_MILLIS = 3_600_000;

    /** Variable with the default of {@code [control] tolerated-losses}. */
    private static final String TOLERATED_LOSSES_VARIABLE = "WAGTAILCART_TOLERATED_LOSSES";
    /** Variable with the default of {@code [entry] shutdown-limit-millis}, in seconds. */
    private static final String SHUTDOWN_LIMIT_VARIABLE = "WAGTAILCART_SHUTDOWN_LIMIT_SECONDS";

    /** Variable with the default of {@code [platform] duties}. */
    private static final String DUTIES_VARIABLE = "WAGTAILCART_DUTIES";
    /** Variable with the default of {@code [platform] usage-window-seconds}. */
    private static final String USAGE_WINDOW_VARIABLE = "WAGTAILCART_USAGE_WINDOW_SECONDS";
    /** Variable with the default of {@code [platform] usage-late-seconds}. */
    private static final String USAGE_LATE_VARIABLE = "WAGTAILCART_USAGE_LATE_SECONDS";
    /** Variable with the default of {@code [workspaces] strict-revoke}. */
    private static final String STRICT_REVOKE_VARIABLE = "WAGTAILCART_STRICT_REVOKE";
    /** Variable with the default of {@code [workspaces] revoke-limit-millis}. */
    private static final String REVOKE_LIMIT_VARIABLE = "WAGTAILCART_REVOKE_LIMIT_MILLIS";

    private final Map<String, Map<String, String>> sections;
    private final Map<String, String> environment;

    ProcessSettingsReader(String text, Map<String, String> environment) {
        this.sections = IniText.parse(text);
        this.environment = environment;
    }

    ProcessSettings read() {
        sections.forEach(ProcessSettingsReader::checkKeys);
        Set<ProcessRole> roles = roles();
        ProcessSettings settings = new ProcessSettings(
                checkedName("process", "id", required("process", "id", NAME_DESCRIPTION)),
                checkedName("process", "host", value("process", "host").orElse("localhost")),
                checkedName(
                        "process",
                        "failure-domain",
                        value("process", "failure-domain").orElse("default")),
                regions(),
                roles,
                value("process", "data-folder"),
                listener("peer"),
                listener("caller"),
                listener("ready"),
                listener("metrics"),
                listener("operator"),
                members(),
                discovery(),
                retryBudget(),
                platform(),
                workspaces(),
                value("operator", "token-file"),
                enumValue("log", "level", LogLevel.values(), LogLevel.INFO),
                enumValue("log", "format", LogFormat.values(), LogFormat.TEXT),
                enumValue("entry", "on-control-loss", ControlLossPolicy.values(), ControlLossPolicy.REFUSE),
                shutdownGraceMillis(),
                shutdownLimitMillis());
        checkRoles(settings);
        checkListeners(settings);
        return settings;
    }

    private static Map<String, List<String>> keysBySection() {
        Map<String, List<String>> keys = new LinkedHashMap<>();
        keys.put("process", List.of("id", "host", "failure-domain", "regions", "roles", "data-folder"));
        keys.put("listen", List.of("peer", "caller", "ready", "metrics", "operator"));
        keys.put("control", List.of("members", "seeds", "peer-port", "found", "tolerated-losses"));
        keys.put("retry", List.of("ratio", "reserve", "window-seconds"));
        keys.put(WORKSPACES, List.of(STRICT_REVOKE, REVOKE_LIMIT_MILLIS));
        keys.put(
                "platform",
                List.of(
                        "host-list",
                        "control-listener",
                        "order-lease-millis",
                        "duties",
                        "usage-window-seconds",
                        "usage-late-seconds"));
        keys.put("operator", List.of("token-file"));
        keys.put("log", List.of("level", "format"));
        keys.put("entry", List.of("on-control-loss", "shutdown-grace-millis", "shutdown-limit-millis"));
        return keys;
    }

    private static void checkKeys(String section, Map<String, String> values) {
        List<String> known = KEYS_BY_SECTION.get(section);
        if (known == null) {
            throw new WagtailcartException(
                    ResultCode.INVALID_SETTINGS_FILE,
                    "section [" + section + "] is unknown; expected one of "
                            + String.join(", ", KEYS_BY_SECTION.keySet()));
        }
        values.keySet().stream().filter(key -> !known.contains(key)).findFirst().ifPresent(key -> {
            throw new WagtailcartException(
                    ResultCode.INVALID_SETTINGS_FILE,
                    "section [" + section + "]: key \"" + key + "\" with the value \"" + values.get(key)
                            + "\" is unknown; expected one of " + String.join(", ", known));
        });
    }

    private Set<ProcessRole> roles() {
        String text = required("process", "roles", "a comma-separated list of " + names(ProcessRole.values()));
        Set<ProcessRole> roles = EnumSet.noneOf(ProcessRole.class);
        splitList(text).forEach(name -> {
            ProcessRole role = find(ProcessRole.values(), name)
                    .orElseThrow(() -> invalid(
                            "process", "roles", text, "a comma-separated list of " + names(ProcessRole.values())));
            if (!roles.add(role)) {
                throw invalid("process", "roles", text, "each role once");
            }
        });
        return Set.copyOf(roles);
    }

    private Regions regions() {
        String text = value("process", "regions").orElse("");
        if (text.isBlank()) {
            return Regions.SINGLE;
        }
        String expected = "a comma-separated list of FAILURE-DOMAIN:REGION, each failure domain once";
        Map<String, String> regions = new LinkedHashMap<>();
        splitList(text).forEach(entry -> {
            String[] pair = entry.split(":", -1);
            if (pair.length != 2 || pair[0].isBlank() || pair[1].isBlank()) {
                throw invalid("process", "regions", text, expected);
            }
            if (regions.put(pair[0].strip(), pair[1].strip()) != null) {
                throw invalid("process", "regions", text, expected);
            }
        });
        return new Regions(Map.copyOf(regions));
    }

    /** Replaces the port of each seed with the peer port, on which members listen for each other on all hosts. */
    private ControlDiscovery discovery() {
        Optional<String> seeds = value("control", "seeds");
        if (seeds.isEmpty()) {
            return ControlDiscovery.NONE;
        }
        String expected = "a comma-separated list of IP:PORT";
        int port = (int) number("control", "peer-port", "", 1, 65_535);
        List<Address> addresses = splitList(seeds.get())
                .map(seed -> address("control", "seeds", seed, seeds.get(), expected))
                .map(seed -> new Address(seed.ip(), port))
                .distinct()
                .sorted(Comparator.comparing(Address::toString))
                .toList();
        String defaultLosses = environmentValue(TOLERATED_LOSSES_VARIABLE, "[1-9][0-9]{0,2}")
                .orElse(String.valueOf(ControlDiscovery.DEFAULT_TOLERATED_LOSSES));
        int toleratedLosses = (int) number("control", "tolerated-losses", defaultLosses, 1, MAX_TOLERATED_LOSSES);
        return new ControlDiscovery(addresses, flag("control", "found"), toleratedLosses);
    }

    private RetryBudgetSettings retryBudget() {
        String expected = "a number from 0 to 1";
        String ratio = value("retry", "ratio").orElse(DEFAULT_RETRY_RATIO);
        if (!ratio.matches("0(\\.[0-9]{1,6})?|1(\\.0{1,6})?")) {
            throw invalid("retry", "ratio", ratio, expected);
        }
        return new RetryBudgetSettings(
                Double.parseDouble(ratio),
                (int) number("retry", "reserve", "0", 0, 1_000_000),
                MILLIS_PER_SECOND * number("retry", "window-seconds", "10", 1, 3_600));
    }

    private Optional<PlatformSettings> platform() {
        return value("platform", "host-list")
                .map(text -> new PlatformSettings(
                        address("platform", "host-list", text, text, "IP:PORT"),
                        value("platform", "control-listener")
                                .map(listener ->
                                        address("platform", "control-listener", listener, listener, "IP:PORT")),
                        number("platform", "order-lease-millis", "3000", 0, 600_000),
                        duties(),
                        usageReports()));
    }

    private List<String> duties() {
        return valueOrVariable("platform", "duties", DUTIES_VARIABLE).stream()
                .flatMap(ProcessSettingsReader::splitList)
                .toList();
    }

    private UsageReportSettings usageReports() {
        return new UsageReportSettings(
                secondsAsMillis("usage-window-seconds", USAGE_WINDOW_VARIABLE, DEFAULT_USAGE_WINDOW_SECONDS),
                secondsAsMillis("usage-late-seconds", USAGE_LATE_VARIABLE, DEFAULT_USAGE_LATE_SECONDS));
    }

    private long secondsAsMillis(String key, String variable, String defaultText) {
        String text = valueOrVariable("platform", key, variable).orElse(defaultText);
        if (!text.matches("[0-9]{1,4}(\\.[0-9]{1,3})?") || Double.parseDouble(text) < 1) {
            throw invalid("platform", key, text, "a number of seconds from 1 to 9999");
        }
        return Math.round(MILLIS_PER_SECOND * Double.parseDouble(text));
    }

    private WorkspaceSettings workspaces() {
        String strictRevoke = valueOrVariable(WORKSPACES, STRICT_REVOKE, STRICT_REVOKE_VARIABLE)
                .orElse("false");
        String limit = valueOrVariable(WORKSPACES, REVOKE_LIMIT_MILLIS, REVOKE_LIMIT_VARIABLE)
                .orElse(DEFAULT_REVOKE_LIMIT_MILLIS);
        return new WorkspaceSettings(
                flag(WORKSPACES, STRICT_REVOKE, strictRevoke),
                integer(WORKSPACES, REVOKE_LIMIT_MILLIS, limit, 0, MAX_REVOKE_LIMIT_MILLIS));
    }

    /**
     * Returns the value of a key, or else that of an environment variable. Either may be empty, which means that it is
     * not set, since the platform fills in nothing for a value that it does not have.
     */
    private Optional<String> valueOrVariable(String section, String key, String variable) {
        return Optional.ofNullable(sections.getOrDefault(section, Map.of()).get(key))
                .filter(text -> !text.isBlank())
                .or(() -> Optional.ofNullable(environment.get(variable)).filter(text -> !text.isBlank()));
    }

    private boolean flag(String section, String key) {
        return flag(section, key, value(section, key).orElse("false"));
    }

    private static boolean flag(String section, String key, String text) {
        if (!List.of("true", "false").contains(text)) {
            throw invalid(section, key, text, "true or false");
        }
        return Boolean.parseBoolean(text);
    }

    private long number(String section, String key, String defaultText, long min, long max) {
        String expected = "an integer from " + min + " to " + max;
        Optional<String> text =
                value(section, key).or(() -> Optional.of(defaultText)).filter(candidate -> !candidate.isEmpty());
        return integer(section, key, text.orElseThrow(() -> missing(section, key, expected)), min, max);
    }

    private static long integer(String section, String key, String digits, long min, long max) {
        if (!digits.matches("[0-9]{1,9}") || Long.parseLong(digits) < min || Long.parseLong(digits) > max) {
            throw invalid(section, key, digits, "an integer from " + min + " to " + max);
        }
        return Long.parseLong(digits);
    }

    private List<MemberAddress> members() {
        if (value("control", "seeds").isPresent() && value("control", "members").isEmpty()) {
            return List.of();
        }
        String expected = "a comma-separated list of id@IP:PORT, each id and address once";
        String text = required("control", "members", expected);
        List<MemberAddress> members =
                splitList(text).map(member -> member(member, text, expected)).toList();
        Set<Object> seen = new HashSet<>();
        boolean distinct =
                members.stream().allMatch(member -> seen.add(member.memberId()) && seen.add(member.address()));
        if (!distinct) {
            throw invalid("control", "members", text, expected);
        }
        return members;
    }

    private static MemberAddress member(String member, String text, String expected) {
        int separator = member.indexOf('@');
        if (separator <= 0 || !member.substring(0, separator).matches(NAME_PATTERN)) {
            throw invalid("control", "members", text, expected);
        }
        return new MemberAddress(
                member.substring(0, separator),
                address("control", "members", member.substring(separator + 1), text, expected));
    }

    private Optional<Address> listener(String key) {
        return value("listen", key).map(text -> {
            String address = text.matches("[0-9]{1,5}") ? LOOPBACK_PREFIX + text : text;
            return address("listen", key, address, text, LISTENER_DESCRIPTION);
        });
    }

    private static Address address(String section, String key, String address, String text, String expected) {
        if (!SettingsKey.ADDRESS.accepts(address)) {
            throw invalid(section, key, text, expected);
        }
        return Address.parse(address);
    }

    private long shutdownGraceMillis() {
        String text = value("entry", "shutdown-grace-millis").orElse(DEFAULT_SHUTDOWN_GRACE_MILLIS);
        if (!text.matches("[0-9]{1,7}") || Integer.parseInt(text) > MAX_SHUTDOWN_GRACE_MILLIS) {
            throw invalid("entry", "shutdown-grace-millis", text, "an integer from 0 to " + MAX_SHUTDOWN_GRACE_MILLIS);
        }
        return Long.parseLong(text);
    }

    private OptionalLong shutdownLimitMillis() {
        String key = "shutdown-limit-millis";
        if (value("entry", key).isPresent()) {
            return OptionalLong.of(number("entry", key, "", 1, MAX_SHUTDOWN_GRACE_MILLIS));
        }
        return environmentValue(SHUTDOWN_LIMIT_VARIABLE, "[0-9]{1,3}(\\.[0-9]{1,6})?").stream()
                .mapToLong(seconds -> Math.round(MILLIS_PER_SECOND * Double.parseDouble(seconds)))
                .filter(millis -> millis > 0)
                .findFirst();
    }

    /** Returns an environment variable; one that is absent or in another form has no effect. */
    private Optional<String> environmentValue(String name, String pattern) {
        return Optional.ofNullable(environment.get(name)).filter(text -> text.matches(pattern));
    }

    private static void checkRoles(ProcessSettings settings) {
        Set<ProcessRole> roles = settings.roles();
        boolean control = roles.contains(ProcessRole.CONTROL);
        throwIfMissing(
                control && settings.dataFolder().isEmpty(), "process", "data-folder", "a folder, for the role control");
        throwIfMissing(
                (control || roles.contains(ProcessRole.SIDECAR))
                        && settings.peerListener().isEmpty(),
                "listen",
                "peer",
                LISTENER_DESCRIPTION + ", for the roles control and sidecar");
        throwIfMissing(
                roles.contains(ProcessRole.ENTRY) && settings.callerListener().isEmpty(),
                "listen",
                "caller",
                LISTENER_DESCRIPTION + ", for the role entry");
        throwIfMissing(
                control
                        && settings.operatorListener().isEmpty()
                        && !settings.discovery().enabled(),
                "listen",
                "operator",
                LISTENER_DESCRIPTION + ", for the role control");
        throwIfMissing(
                roles.contains(ProcessRole.GATEWAY) && settings.callerListener().isEmpty(),
                "listen",
                "caller",
                LISTENER_DESCRIPTION + ", for the role gateway");
        throwIfMissing(
                roles.contains(ProcessRole.GATEWAY)
                        && settings.readinessListener().isEmpty(),
                "listen",
                "ready",
                LISTENER_DESCRIPTION + ", for the role gateway");
        throwIfMissing(
                roles.contains(ProcessRole.GATEWAY) && settings.platform().isEmpty(),
                "platform",
                "host-list",
                "IP:PORT, for the role gateway");
        throwIfMissing(
                settings.operatorListener().isPresent()
                        && settings.operatorTokenFile().isEmpty(),
                "operator",
                "token-file",
                "a file with the bearer token, for a process with an operator listener");
    }

    private static void checkListeners(ProcessSettings settings) {
        Set<Address> seen = new HashSet<>();
        Stream.of(
                        settings.peerListener(),
                        settings.callerListener(),
                        settings.readinessListener(),
                        settings.metricsListener(),
                        settings.operatorListener())
                .flatMap(Optional::stream)
                .filter(address -> !seen.add(address))
                .findFirst()
                .ifPresent(address -> {
                    throw new WagtailcartException(
                            ResultCode.INVALID_SETTINGS_FILE,
                            "section [listen]: the value \"" + address
                                    + "\" appears twice; expected a different address for each listener");
                });
    }

    private static void throwIfMissing(boolean missing, String section, String key, String expected) {
        if (missing) {
            throw missing(section, key, expected);
        }
    }

    private Optional<String> value(String section, String key) {
        Optional<String> value =
                Optional.ofNullable(sections.getOrDefault(section, Map.of()).get(key));
        if (value.isPresent() && value.get().isBlank()) {
            throw invalid(section, key, "", "a non-empty value");
        }
        return value;
    }

    private String required(String section, String key, String expected) {
        return value(section, key).orElseThrow(() -> missing(section, key, expected));
    }

    private static String checkedName(String section, String key, String value) {
        if (!value.matches(NAME_PATTERN)) {
            throw invalid(section, key, value, NAME_DESCRIPTION);
        }
        return value;
    }

    private <E extends Enum<E>> E enumValue(String section, String key, E[] constants, E defaultValue) {
        return value(section, key)
                .map(text -> find(constants, text)
                        .orElseThrow(() -> invalid(section, key, text, "one of " + names(constants))))
                .orElse(defaultValue);
    }

    private static <E extends Enum<E>> Optional<E> find(E[] constants, String name) {
        return Arrays.stream(constants)
                .filter(constant -> SettingNames.of(constant).equals(name))
                .findFirst();
    }

    private static Stream<String> splitList(String text) {
        return Arrays.stream(text.split(",", -1)).map(String::strip);
    }

    private static String names(Enum<?>[] constants) {
        return Arrays.stream(constants).map(SettingNames::of).collect(Collectors.joining(", "));
    }

    private static WagtailcartException missing(String section, String key, String expected) {
        return new WagtailcartException(
                ResultCode.INVALID_SETTINGS_FILE,
                "section [" + section + "]: key \"" + key + "\" is missing; expected " + expected);
    }

    private static WagtailcartException invalid(String section, String key, String value, String expected) {
        return new WagtailcartException(
                ResultCode.INVALID_SETTINGS_FILE,
                "section [" + section + "]: key \"" + key + "\" has the value \"" + value + "\"; expected " + expected);
    }
}
