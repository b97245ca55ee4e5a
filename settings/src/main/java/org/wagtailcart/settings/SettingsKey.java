package org.wagtailcart.settings;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;

/** Keys of the settings tree with the values that each accepts. */
public enum SettingsKey {
    KIND(names(UpstreamKind.values())),
    ADDRESS("IP:PORT", ValueType.ADDRESS),
    SIDECAR(ValuePatterns.IDENTIFIER_DESCRIPTION, ValuePatterns.IDENTIFIER),
    SIDECAR_ADDRESS("IP:PORT", ValueType.ADDRESS),
    HOST(ValuePatterns.TEXT_DESCRIPTION, "(?=[^ ])" + ValuePatterns.TEXT),
    FAILURE_DOMAIN(ValuePatterns.TEXT_DESCRIPTION, "(?=[^ ])" + ValuePatterns.TEXT),
    SERVICE(ValuePatterns.IDENTIFIER_DESCRIPTION, ValuePatterns.IDENTIFIER),
    MODEL(ValuePatterns.TEXT_DESCRIPTION, "(?=[^ ])" + ValuePatterns.TEXT),
    ADAPTER(ValuePatterns.OPTIONAL_TEXT_DESCRIPTION, "(?! )" + ValuePatterns.TEXT),
    VERSION(ValuePatterns.TEXT_DESCRIPTION, "(?=[^ ])" + ValuePatterns.TEXT),
    ROLE(names(EngineRole.values())),
    ROLE_CHANGES("auto|fixed"),
    FENCING("checked|ignored"),
    MAX_IN_FLIGHT(1, 4096),
    SOFT_MAX_IN_FLIGHT(1, 4096),
    QUEUE_LIMIT(0, 100_000),
    DRAIN_LIMIT_MILLIS(0, 3_600_000),
    DEADLINE_MILLIS(1, 3_600_000),
    PRIORITY(names(Priority.values())),
    REQUESTS_PER_SECOND(0, 1_000_000),
    WEIGHT(1, 1000),
    KEY_SALT("22 letters, digits, '-' or '_'", ValuePatterns.KEY_SALT),
    KEY_DIGESTS("a comma-separated list of key digests of 16 letters, digits, '-' or '_'", ValuePatterns.KEY_DIGESTS),
    NON_IDEMPOTENT("a comma-separated list of METHOD /path-prefix", ValuePatterns.CALL_PREFIXES),
    GOODPUT_WEIGHT(0, 1000),
    ROLE_CHANGE_WEIGHT(0, 1000),
    PREFILL_TOKENS_PER_SECOND(1, 10_000_000),
    DECODE_TOKENS_PER_SECOND(1, 10_000_000);

    // Bounds a value, as every full sync of the tree carries it; the longest legitimate one is a list of call prefixes.
    private static final int MAX_VALUE_CHARS = 4096;
    private static final Map<String, SettingsKey> BY_NAME = Arrays.stream(values())
            .collect(Collectors.toUnmodifiableMap(SettingsKey::settingName, Function.identity()));

    private final String accepts;
    private final ValueType valueType;
    private final Pattern pattern;
    private final int min;
    private final int max;

    SettingsKey(String accepts, ValueType valueType, String pattern, int min, int max) {
        this.accepts = accepts;
        this.valueType = valueType;
        this.pattern = Pattern.compile(pattern);
        this.min = min;
        this.max = max;
    }

    SettingsKey(String alternatives) {
        this("one of " + alternatives.replace("|", ", "), ValueType.PATTERN, alternatives, 0, 0);
    }

    SettingsKey(String accepts, String pattern) {
        this(accepts, ValueType.PATTERN, pattern, 0, 0);
    }

    SettingsKey(String accepts, ValueType valueType) {
        this(accepts, valueType, "", 0, 0);
    }

    SettingsKey(int min, int max) {
        this("a whole number from " + min + " to " + max, ValueType.NUMBER, "0|[1-9][0-9]{0,8}", min, max);
    }

    /** Returns the name of the key in INI files and commands. */
    public String settingName() {
        return SettingNames.of(this);
    }

    /** Returns a description of the accepted values. */
    public String accepts() {
        return accepts;
    }

    /** Returns the key with a name, empty for an unknown name. */
    public static Optional<SettingsKey> find(String name) {
        return Optional.ofNullable(BY_NAME.get(name));
    }

    /**
     * Checks that a key exists and accepts a value.
     *
     * @throws WagtailcartException with {@link ResultCode#SETTING_UNKNOWN} or {@link ResultCode#SETTING_INVALID}
     */
    public static void validate(String branch, String name, String value) {
        SettingsKey key = find(name)
                .orElseThrow(() -> new WagtailcartException(
                        ResultCode.SETTING_UNKNOWN,
                        "branch " + branch + ": key \"" + name + "\" is unknown; accepted keys are "
                                + Arrays.stream(values())
                                        .map(SettingsKey::settingName)
                                        .collect(Collectors.joining(", "))));
        if (value.length() > MAX_VALUE_CHARS || !key.accepts(value)) {
            throw invalid(branch, name, value, key.accepts());
        }
    }

    static WagtailcartException invalid(String branch, String key, String value, String accepts) {
        String truncatedValue = value.length() > 200 ? value.substring(0, 200) + "..." : value;
        return new WagtailcartException(
                ResultCode.SETTING_INVALID,
                "branch " + branch + ": key \"" + key + "\" has the value \"" + truncatedValue + "\"; accepted is "
                        + accepts);
    }

    /** Returns whether a value is accepted. */
    public boolean accepts(String value) {
        return switch (valueType) {
            case PATTERN -> pattern.matcher(value).matches();
            case NUMBER ->
                pattern.matcher(value).matches() && Integer.parseInt(value) >= min && Integer.parseInt(value) <= max;
            case ADDRESS -> isAddress(value);
        };
    }

    private static boolean isAddress(String value) {
        try {
            Address address = Address.parse(value);
            return address.toString().equals(value) && isIpLiteral(address.ip());
        } catch (WagtailcartException e) {
            return false;
        }
    }

    private static boolean isIpLiteral(String ip) {
        return ip.startsWith("[") || ValuePatterns.IPV4.matcher(ip).matches();
    }

    private static String names(Enum<?>... constants) {
        return Arrays.stream(constants).map(SettingNames::of).collect(Collectors.joining("|"));
    }

    private enum ValueType {
        PATTERN,
        NUMBER,
        ADDRESS
    }

    /** Patterns and their descriptions; enum constants cannot refer to static fields of the enum itself. */
    private static final class ValuePatterns {
        static final String IDENTIFIER = "[A-Za-z0-9._-]{1,64}";
        // Without backslashes, as INI cannot represent a quoted value that ends with one.
        static final String TEXT = "[^\\p{Cntrl}\"\\\\]{0,200}(?<! )";
        static final String TEXT_DESCRIPTION = "1 to 200 printable characters without \" and \\";
        static final String OPTIONAL_TEXT_DESCRIPTION = "up to 200 printable characters without \" and \\";
        static final String KEY_SALT = "[A-Za-z0-9_-]{22}";
        static final String KEY_DIGEST = "[A-Za-z0-9_-]{16}";
        static final String KEY_DIGESTS = "(" + KEY_DIGEST + "(, *+" + KEY_DIGEST + ")*+)?";
        static final String CALL_PREFIX = "(GET|HEAD|POST|PUT|PATCH|DELETE) /[!#-+\\--\\[\\]-~]*+";
        static final String CALL_PREFIXES = "(" + CALL_PREFIX + "(, *+" + CALL_PREFIX + ")*+)?";
        static final String IDENTIFIER_DESCRIPTION = "1 to 64 letters, digits, '.', '_' or '-'";

        static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
        static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

        private ValuePatterns() {}
    }
}
