package org.wagtailcart.bench;

/**
 * Part of a scenario with one mix and one rate.
 *
 * @param fromMillis start
 * @param mix kinds of requests
 * @param load rate as a share of the capacity of the best split for the mix
 */
record Phase(long fromMillis, Mix mix, double load) {}
