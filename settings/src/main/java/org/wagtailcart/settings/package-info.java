/** The operators' settings tree: its keys, revisions, history, INI form and replicated state machine. */
@NullMarked
package org.wagtailcart.settings;

import org.jspecify.annotations.NullMarked;
