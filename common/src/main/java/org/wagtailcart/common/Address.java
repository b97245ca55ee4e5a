package org.wagtailcart.common;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * IP address and port of a listener.
 *
 * @param ip IP address, IPv6 in square brackets; host names are not resolved
 * @param port port, 1 to 65535
 */
public record Address(String ip, int port) {
    /** Four decimal octets, or hexadecimal digits and colons in square brackets. */
    private static final Pattern IP =
            Pattern.compile("((25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])(\\.(?!$)|$)){4}|\\[[0-9a-fA-F:]+]");

    /** Creates an address; rejects a port outside the range 1 to 65535. */
    public Address {
        if (port < 1 || port > 65535) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "port " + port + " is outside the range 1 to 65535");
        }
    }

    /**
     * Parses an address of the form {@code ip:port}.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the text has another form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !IP.matcher(text.substring(0, colon)).matches()) {
            throw malformed(text);
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw malformed(text);
        }
    }

    /** Returns this address as a socket address. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(ip, port);
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }

    private static WagtailcartException malformed(String text) {
        return new WagtailcartException(
                ResultCode.INVALID_ARGUMENT, "address \"" + text + "\" is not of the form IP:PORT");
    }
}
