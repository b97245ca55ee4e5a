package org.wagtailcart.wire;

/** Client side of one open request. */
@FunctionalInterface
public interface Call {
    /** Tells the peer to stop; the listener gets no further events and no end. */
    void cancel();
}
