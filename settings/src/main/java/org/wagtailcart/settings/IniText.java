package org.wagtailcart.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Parser and formatter of INI text with sections of keys and values. */
public final class IniText {
    private IniText() {}

    /**
     * Returns the keys and values by section, in the order of the text.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_SETTINGS_FILE} when the text is not INI, a key is
     *     outside a section or appears twice in one
     */
    public static Map<String, Map<String, String>> parse(String text) {
        INIConfiguration ini = new INIConfiguration();
        ini.setSeparatorUsedInInput("=");
        ini.setCommentLeadingCharsUsedInInput("#;");
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            throw new WagtailcartException(ResultCode.INVALID_SETTINGS_FILE, "text is not INI: " + e.getMessage(), e);
        }
        Map<String, Map<String, String>> sections = new LinkedHashMap<>();
        for (ImmutableNode node : ini.getNodeModel().getInMemoryRepresentation().getChildren()) {
            if (node.getValue() != null) {
                throw new WagtailcartException(
                        ResultCode.INVALID_SETTINGS_FILE,
                        "key \"" + node.getNodeName() + "\" with the value \"" + node.getValue()
                                + "\" stands outside a section; expected [section] before the first key");
            }
            addSection(sections, node);
        }
        return sections;
    }

    /** Returns one section in INI form; values must contain no double quote and no backslash. */
    public static String format(String section, Map<String, String> values) {
        StringBuilder text = new StringBuilder("[").append(section).append("]\n");
        values.forEach((key, value) ->
                text.append(key).append(" = ").append(quoteIfNeeded(value)).append('\n'));
        return text.append('\n').toString();
    }

    private static void addSection(Map<String, Map<String, String>> sections, ImmutableNode section) {
        Map<String, String> values = sections.computeIfAbsent(section.getNodeName(), name -> new LinkedHashMap<>());
        for (ImmutableNode key : section.getChildren()) {
            String previous = values.put(key.getNodeName(), valueOrEmpty(key.getValue()));
            if (previous != null) {
                throw new WagtailcartException(
                        ResultCode.INVALID_SETTINGS_FILE,
                        "section [" + section.getNodeName() + "]: key \"" + key.getNodeName()
                                + "\" appears twice, with the values \"" + previous + "\" and \""
                                + valueOrEmpty(key.getValue()) + "\"; expected each key once");
            }
        }
    }

    private static String valueOrEmpty(@Nullable Object value) {
        return value == null ? "" : value.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = value.equals(value.strip()) && value.chars().noneMatch(c -> "';#".indexOf(c) >= 0);
        return plain && !value.isEmpty() ? value : '"' + value + '"';
    }
}
