package org.wagtailcart.settings;

/**
 * Result of {@link ApplySettings}.
 *
 * @param codeNumber number of the result code, 0 when accepted
 * @param revision revision of the change when accepted, else the revision in force
 * @param message reason of a refusal, else empty
 */
public record ApplySettingsResult(int codeNumber, long revision, String message) {}
