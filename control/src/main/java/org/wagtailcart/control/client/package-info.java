/** Client of the control group and the messages between processes and control members. */
@NullMarked
package org.wagtailcart.control.client;

import org.jspecify.annotations.NullMarked;
