/** Benchmark of the check of API keys. */
@NullMarked
package org.wagtailcart.workspace.measure;

import org.jspecify.annotations.NullMarked;
