package org.wagtailcart.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.UUID;
import java.util.function.Function;
import org.wagtailcart.common.Address;

/**
 * Console, global options and server access of a running command. The token file is read only when a server is called,
 * so that local checks need no token.
 */
final class CommandContext {
    private final GlobalOptions options;
    private final Console console;

    CommandContext(GlobalOptions options, Console console) {
        this.options = options;
        this.console = console;
    }

    Console console() {
        return console;
    }

    String operator() {
        return options.operator;
    }

    /** Calls a server and prints its response. */
    ExitCode print(Function<OperatorClient, JsonNode> call) {
        JsonNode response = call(call);
        print(response);
        return ExitCode.OK;
    }

    void print(JsonNode response) {
        console.result(options.json ? response.toString() : TextFormatter.format(response));
    }

    <T> T call(Function<OperatorClient, T> call) {
        String token = new String(readFile(options.tokenFile), StandardCharsets.UTF_8).strip();
        try (OperatorClient client =
                new OperatorClient(options.servers.stream().map(Address::parse).toList(), token)) {
            return call.apply(client);
        }
    }

    /** Returns the requested id, or a new one that is printed for a repeat of the change after an unknown outcome. */
    String changeIdOrNew(String requested) {
        if (!requested.isEmpty()) {
            return requested;
        }
        String id = UUID.randomUUID().toString();
        console.error("change id " + id);
        return id;
    }

    long revisionOrCurrent(long requested) {
        return requested >= 0
                ? requested
                : call(client -> client.get("/v1/tree", Map.of()))
                        .path("revision")
                        .asLong();
    }

    static byte[] readFile(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new CliException(ExitCode.INVALID_FILE, "file \"" + file + "\" cannot be read: " + e.getMessage());
        }
    }
}
