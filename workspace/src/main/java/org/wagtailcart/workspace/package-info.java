/** Workspaces of callers and the API keys with which their requests are authenticated. */
@NullMarked
package org.wagtailcart.workspace;

import org.jspecify.annotations.NullMarked;
