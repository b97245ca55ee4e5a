package org.wagtailcart.common;

import java.util.Objects;

/** Unchecked exception that carries a numbered result code. */
public final class WagtailcartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;
    private final RunState runState;

    /** Creates an exception with the run state that the code states. */
    public WagtailcartException(ResultCode code, String message) {
        this(code, code.runState(), message);
    }

    /** Creates an exception whose run state is known better than the code states. */
    public WagtailcartException(ResultCode code, RunState runState, String message) {
        super(message);
        this.code = Objects.requireNonNull(code, "code");
        this.runState = Objects.requireNonNull(runState, "runState");
    }

    /** Creates an exception with a cause. */
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
