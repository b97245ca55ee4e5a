/**
 * Long polls of gateways for the routing table and the host list, and the exchange of outstanding work and prefix
 * updates between gateways.
 */
@NullMarked
package org.wagtailcart.control.watch;

import org.jspecify.annotations.NullMarked;
