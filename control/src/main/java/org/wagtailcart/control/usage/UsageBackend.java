package org.wagtailcart.control.usage;

import java.util.concurrent.CompletableFuture;
import org.wagtailcart.usage.CloseUsageWindow;
import org.wagtailcart.usage.ClosedUsageWindow;
import org.wagtailcart.usage.MarkUsageReported;
import org.wagtailcart.usage.UsageState;

/** Access to the usage windows of the replicated state. The commands succeed on the leader only. */
public interface UsageBackend {
    /** Returns the closed windows. */
    UsageState state();

    /** Closes a window; the result has the counts that are stored. */
    CompletableFuture<ClosedUsageWindow> close(CloseUsageWindow command);

    /** Records that a window was reported. */
    CompletableFuture<ClosedUsageWindow> mark(MarkUsageReported command);
}
