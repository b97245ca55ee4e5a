/** In-memory ledger of non-idempotent attempts. */
@NullMarked
package org.wagtailcart.sidecar.ledger;

import org.jspecify.annotations.NullMarked;
