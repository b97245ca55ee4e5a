package org.wagtailcart.common;

/** What a result says about whether the requested work ran at the upstream. */
public enum RunState {
    /** The work did not run and will not run. */
    NOT_RUN,
    /** The work may have run; the outcome is unknown. */
    MAY_HAVE_RUN,
    /** The work ran. */
    RAN
}
