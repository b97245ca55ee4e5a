package org.wagtailcart.standin;

import org.wagtailcart.common.Address;

/**
 * Options of a stand-in service.
 *
 * @param listen address of its HTTP listener
 * @param workMillis processing time of a request
 * @param exitOnCrash whether a crash ends the process; otherwise it only closes the sockets
 */
public record ServiceOptions(Address listen, long workMillis, boolean exitOnCrash) {}
