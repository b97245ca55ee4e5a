package org.wagtailcart.wire;

import java.util.concurrent.CompletableFuture;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/** Completes a future with the only answer of an exchange. */
final class SingleAnswerListener<T> implements StreamListener {
    private final CompletableFuture<T> future;
    private final Class<T> answerType;

    SingleAnswerListener(CompletableFuture<T> future, Class<T> answerType) {
        this.future = future;
        this.answerType = answerType;
    }

    @Override
    public void onEvent(Object event) {
        onFailure(unexpected(event));
    }

    @Override
    public void onEnd(Object answer) {
        if (answerType.isInstance(answer)) {
            future.complete(answerType.cast(answer));
        } else {
            onFailure(unexpected(answer));
        }
    }

    @Override
    public void onFailure(WagtailcartException error) {
        future.completeExceptionally(error);
    }

    private static WagtailcartException unexpected(Object message) {
        return new WagtailcartException(
                ResultCode.UNKNOWN_MESSAGE,
                RunState.MAY_HAVE_RUN,
                "unexpected answer " + message.getClass().getSimpleName());
    }
}
