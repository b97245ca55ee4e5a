package org.wagtailcart.common;

import java.util.Objects;

/** Unchecked exception that carries a {@link ResultCode} and a {@link RunState}. */
public final class WagtailcartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;
    private final RunState runState;

    /** Creates an exception with the default run state of its code. */
    public WagtailcartException(ResultCode code, String message) {
        this(code, code.runState(), message);
    }

    /** Creates an exception whose run state is more precise than the default of its code. */
    public WagtailcartException(ResultCode code, RunState runState, String message) {
        super(message);
        this.code = Objects.requireNonNull(code, "code");
        this.runState = Objects.requireNonNull(runState, "runState");
    }

    /** Creates an exception with a cause and the default run state of its code. */
    public WagtailcartException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code, "code");
        this.runState = code.runState();
    }

    public ResultCode code() {
        return code;
    }

    public RunState runState() {
        return runState;
    }
}
