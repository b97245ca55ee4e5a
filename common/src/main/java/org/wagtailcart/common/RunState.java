package org.wagtailcart.common;

/** Whether the requested work ran at the upstream, as far as the result of a request shows. */
public enum RunState {
    /** The work did not run and will not run. */
    NOT_RUN,
    /** The work may have run; the outcome is unknown. */
    MAY_HAVE_RUN,
    /** The work ran. */
    RAN
}
