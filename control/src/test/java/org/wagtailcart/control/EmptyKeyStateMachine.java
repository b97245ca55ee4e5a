package org.wagtailcart.control;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Key state machine without keys that rejects every command and query. */
public final class EmptyKeyStateMachine implements KeyStateMachine {
    @Override
    public Object apply(long index, long timeMillis, Object command) {
        throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "this state machine has no keys");
    }

    @Override
    public byte[] snapshot() {
        return new byte[0];
    }

    @Override
    public void restore(byte[] snapshot) {}

    @Override
    public Object lookup(Object query) {
        throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "this state machine has no keys");
    }
}
