package org.wagtailcart.settings;

/**
 * Result of {@link ApplySettings}.
 *
 * @param codeNumber number of the result code, 0 when accepted
 * @param revision new revision when accepted, else the current one
 * @param message message for people
 */
public record ApplySettingsResult(int codeNumber, long revision, String message) {}
