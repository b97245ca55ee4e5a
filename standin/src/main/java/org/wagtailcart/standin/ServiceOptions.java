package org.wagtailcart.standin;

import org.wagtailcart.common.Address;

/**
 * Options of a stand-in service.
 *
 * @param listen address of its HTTP listener
 * @param workMillis time that a request takes
 * @param exitOnCrash whether a crash ends the process; an embedded service closes its sockets only
 */
public record ServiceOptions(Address listen, long workMillis, boolean exitOnCrash) {}
