/** Raft replicated log: consensus, membership changes, storage, transport and the interface of the state machine. */
@NullMarked
package org.wagtailcart.coordination;

import org.jspecify.annotations.NullMarked;
