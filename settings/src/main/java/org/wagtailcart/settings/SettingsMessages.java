package org.wagtailcart.settings;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Message types of the settings commands, numbers 200 to 299. */
public final class SettingsMessages {
    public static final List<MessageType> TYPES =
            List.of(new MessageType(200, ApplySettings.class), new MessageType(201, ApplySettingsResult.class));

    private SettingsMessages() {}
}
