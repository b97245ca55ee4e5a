/** Origins of the streams of all gateways, so that any gateway can resume a stream. */
@NullMarked
package org.wagtailcart.control.stream;

import org.jspecify.annotations.NullMarked;
