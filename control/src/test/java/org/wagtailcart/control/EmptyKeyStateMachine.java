package org.wagtailcart.control;

import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Key part that holds nothing. */
public final class EmptyKeyStateMachine implements KeyStateMachine {
    @Override
    public Object apply(long index, long timeMillis, Object command) {
        throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "no keys here");
    }

    @Override
    public byte[] snapshot() {
        return new byte[0];
    }

    @Override
    public void restore(byte[] snapshot) {}

    @Override
    public Object lookup(Object query) {
        throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "no keys here");
    }
}
