package org.wagtailcart.control.client;

/**
 * Reply to {@link FindOrigin}.
 *
 * @param known whether the member knows the origin
 * @param service service of the stream, empty if it is not known
 * @param softwareVersion software version of the stream, empty if it is not known
 */
public record FoundOrigin(boolean known, String service, String softwareVersion) {
    /** Reply of a member that does not know the origin. */
    public static final FoundOrigin UNKNOWN = new FoundOrigin(false, "", "");
}
