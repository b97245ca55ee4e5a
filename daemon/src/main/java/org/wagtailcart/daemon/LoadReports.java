package org.wagtailcart.daemon;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.wagtailcart.control.client.LoadReport;

/** Collector of the load reports of all roles of this process, for the sync with the control group. */
@Singleton
final class LoadReports {
    private final List<Supplier<List<LoadReport>>> sources = new CopyOnWriteArrayList<>();

    @Inject
    LoadReports() {}

    void add(Supplier<List<LoadReport>> source) {
        sources.add(source);
    }

    List<LoadReport> collect() {
        return sources.stream().map(Supplier::get).flatMap(Collection::stream).toList();
    }
}
