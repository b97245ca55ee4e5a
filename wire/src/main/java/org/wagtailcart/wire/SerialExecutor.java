package org.wagtailcart.wire;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/** Executor that runs its tasks one at a time, in order, on the threads of another executor. */
final class SerialExecutor implements Executor {
    private final Executor executor;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private boolean running;

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    @Override
    public void execute(Runnable task) {
        synchronized (tasks) {
            tasks.add(task);
            if (running) {
                return;
            }
            running = true;
        }
        executor.execute(this::drain);
    }

    private void drain() {
        Runnable task = next();
        while (task != null) {
            task.run();
            task = next();
        }
    }

    private @Nullable Runnable next() {
        synchronized (tasks) {
            Runnable task = tasks.poll();
            running = task != null;
            return task;
        }
    }
}
