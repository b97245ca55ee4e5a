/** Crash-safe files of a control member: append-only log, snapshot files and the identity of its data folder. */
@NullMarked
package org.wagtailcart.storage;

import org.jspecify.annotations.NullMarked;
