/** Files that survive a crash: synced append-only log, snapshot files, identity of the data folder. */
@NullMarked
package org.wagtailcart.storage;

import org.jspecify.annotations.NullMarked;
