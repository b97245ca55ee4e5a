package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.wagtailcart.settings.process.ProcessSettings;

/** Dagger component with the object graph of one process. */
@Singleton
@Component(modules = {ProcessModule.class, RolesModule.class})
interface DaemonComponent {
    /** Returns the daemon, not yet started. */
    Daemon daemon();

    /** Factory of the object graph from the settings of the process. */
    @Component.Factory
    interface Factory {
        DaemonComponent create(@BindsInstance ProcessSettings settings, @BindsInstance MetricRegistry registry);
    }
}
