package org.wagtailcart.control;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.wagtailcart.control.client.CommandRequest;
import org.wagtailcart.control.client.ControlMessages;
import org.wagtailcart.fleet.FleetMessages;
import org.wagtailcart.once.KeyMessages;
import org.wagtailcart.routes.RoutesMessages;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.settings.SettingsMessages;
import org.wagtailcart.usage.UsageMessages;
import org.wagtailcart.wire.MessageCodec;

/** Codec, commands and settings edits shared by the tests of this module. */
public final class Samples {
    public static final MessageCodec CODEC = new MessageCodec(List.of(
            SettingsMessages.TYPES,
            KeyMessages.TYPES,
            FleetMessages.TYPES,
            ControlMessages.TYPES,
            RoutesMessages.TYPES,
            UsageMessages.TYPES));

    private Samples() {}

    /** Returns a command in its encoded form for the replicated log. */
    public static byte[] encode(Record command) {
        return CODEC.encode(new CommandRequest(CODEC.typeNumber(command), CODEC.encode(command)));
    }

    /** Returns the edits that create engines of one model, each with its own sidecar. */
    public static List<SettingsEdit> engines(int count) {
        Stream<SettingsEdit> shared = Stream.of(
                SettingsEdit.set("/upstreams/assistant", "kind", "engine"),
                SettingsEdit.set("/upstreams/assistant", "model", "assistant"),
                SettingsEdit.set("/upstreams/assistant", "version", "1"));
        return Stream.concat(shared, IntStream.range(0, count).boxed().flatMap(Samples::engine))
                .toList();
    }

    private static Stream<SettingsEdit> engine(int number) {
        String branch = "/upstreams/assistant/e" + number;
        String ip = "10." + number / 62_500 + "." + number / 250 % 250 + "." + (1 + number % 250);
        return Stream.of(
                SettingsEdit.set(branch, "address", ip + ":8000"),
                SettingsEdit.set(branch, "sidecar", "s" + number),
                SettingsEdit.set(branch, "sidecar-address", ip + ":7000"));
    }
}
