package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.wagtailcart.settings.process.ProcessSettings;

/** Object graph of one process. */
@Singleton
@Component(modules = {ProcessModule.class, RolesModule.class})
interface DaemonComponent {
    /** Returns the process, not started. */
    Daemon daemon();

    /** Creates the graph from the settings of the process. */
    @Component.Factory
    interface Factory {
        DaemonComponent create(@BindsInstance ProcessSettings settings, @BindsInstance MetricRegistry registry);
    }
}
