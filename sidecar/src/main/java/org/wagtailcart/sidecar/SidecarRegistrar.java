package org.wagtailcart.sidecar;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.control.client.ControlClient;
import org.wagtailcart.fleet.RegisterSidecar;
import org.wagtailcart.fleet.RegisterSidecarResult;

/** Registers this process with the control group, retrying until the control group has assigned it an epoch. */
final class SidecarRegistrar {
    private static final Logger LOG = System.getLogger(SidecarRegistrar.class.getName());
    private static final long COMMAND_TIMEOUT_MILLIS = 5_000;
    private static final long RETRY_MILLIS = 500;

    private final SidecarOptions options;
    private final ControlClient control;
    private final ScheduledExecutorService controlThread;
    private final SidecarEpoch epoch;
    private @Nullable ScheduledFuture<?> retry;
    private volatile boolean stopped;

    SidecarRegistrar(
            SidecarOptions options, ControlClient control, ScheduledExecutorService controlThread, SidecarEpoch epoch) {
        this.options = options;
        this.control = control;
        this.controlThread = controlThread;
        this.epoch = epoch;
    }

    void start() {
        RegisterSidecar command = new RegisterSidecar(options.sidecarId(), options.incarnation(), options.address());
        var unused = control.submit(command, RegisterSidecarResult.class, COMMAND_TIMEOUT_MILLIS)
                .whenCompleteAsync(this::onReply, controlThread);
    }

    synchronized void stop() {
        stopped = true;
        if (retry != null) {
            retry.cancel(false);
        }
    }

    private void onReply(@Nullable RegisterSidecarResult result, @Nullable Throwable failure) {
        if (failure == null && result != null && result.codeNumber() == 0) {
            LOG.log(
                    Level.INFO,
                    LogEvent.of("sidecar-registered", "sidecar", options.sidecarId(), "epoch", result.epoch()));
            epoch.onRegistered(result.epoch());
            return;
        }
        LOG.log(
                Level.WARNING,
                LogEvent.of(
                        "sidecar-not-registered",
                        "sidecar",
                        options.sidecarId(),
                        "reason",
                        failure == null ? result : failure));
        retryLater();
    }

    private synchronized void retryLater() {
        if (!stopped) {
            retry = controlThread.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
