/** Answers gateways that wait for a newer routing table and tells them what the others have in flight. */
@NullMarked
package org.wagtailcart.control.watch;

import org.jspecify.annotations.NullMarked;
