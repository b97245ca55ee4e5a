/**
 * Benchmark that runs the {@code policy} module in a discrete-event simulation and compares it with simple baselines and
 * with an informed policy, which reads the true state and the future of the scenario.
 */
@NullMarked
package org.wagtailcart.bench;

import org.jspecify.annotations.NullMarked;
