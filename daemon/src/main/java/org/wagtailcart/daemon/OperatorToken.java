package org.wagtailcart.daemon;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.settings.process.ProcessSettings;

/** Bearer token of the operators, read from its file at start. */
@Singleton
final class OperatorToken {
    private final String value;

    /**
     * Reads the token from the file given in the settings.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_SETTINGS_FILE} when the file is not set, cannot be
     *     read or is empty
     */
    @Inject
    OperatorToken(ProcessSettings settings) {
        String file = settings.operatorTokenFile()
                .orElseThrow(() ->
                        new WagtailcartException(ResultCode.INVALID_SETTINGS_FILE, "[operator] token-file is missing"));
        try {
            value = Files.readString(Path.of(file)).strip();
        } catch (IOException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_SETTINGS_FILE, "[operator] token-file \"" + file + "\" cannot be read", e);
        }
        if (value.isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.INVALID_SETTINGS_FILE, "[operator] token-file \"" + file + "\" is empty");
        }
    }

    String value() {
        return value;
    }

    /** Returns whether an Authorization header holds this token; compares in constant time. */
    boolean matchesHeader(String authorization) {
        return MessageDigest.isEqual(
                ("Bearer " + value).getBytes(StandardCharsets.UTF_8), authorization.getBytes(StandardCharsets.UTF_8));
    }
}
