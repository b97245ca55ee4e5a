/** Admission control: rate limits, request queues, retry budgets and dispatch to the router. */
@NullMarked
package org.wagtailcart.entry.admission;

import org.jspecify.annotations.NullMarked;
