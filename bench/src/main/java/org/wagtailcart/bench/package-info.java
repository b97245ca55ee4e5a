/** Policy benchmark in virtual time: the decisions of {@code policy} against simple baselines and an informed policy. */
@NullMarked
package org.wagtailcart.bench;

import org.jspecify.annotations.NullMarked;
