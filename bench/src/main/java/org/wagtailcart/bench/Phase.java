package org.wagtailcart.bench;

/**
 * A phase of a scenario with a constant request mix and rate.
 *
 * @param fromMillis start in virtual time; the phase ends where the next one starts
 * @param mix request mix
 * @param load request rate as a share of {@link Mix#capacity}
 */
record Phase(long fromMillis, Mix mix, double load) {}
