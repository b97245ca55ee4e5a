package org.wagtailcart.gateway.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against an unresponsive upstream that is never given up, because one check for it failed. */
class ResponseWatchdogTest {
    @Test
    void checkIsRepeatedAfterItFailed() throws InterruptedException {
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        Semaphore cancelled = new Semaphore(0);
        AtomicInteger checks = new AtomicInteger();
        try {
            var unused = timer.scheduleWithFixedDelay(
                    ResponseWatchdog.check(
                            () -> true,
                            cancel -> {
                                if (checks.getAndIncrement() == 0) {
                                    throw new RejectedExecutionException("no thread");
                                }
                                cancel.run();
                            },
                            cancelled::release),
                    1,
                    1,
                    TimeUnit.MILLISECONDS);
            assertThat(cancelled.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        } finally {
            timer.shutdownNow();
        }
    }
}
