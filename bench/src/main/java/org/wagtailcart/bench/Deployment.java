package org.wagtailcart.bench;

import com.beust.jcommander.IStringConverter;
import org.wagtailcart.common.SettingNames;

/** Fleet sizes, latencies and planner weights of the two deployments in design section 1. */
enum Deployment {
    MOSLIH_NET(13, 4, 4, 1, 1, 3, 1),
    KARTOMAT(13, 3, 3, 1.5, 3, 1, 3);

    final int engines;
    final int services;
    final int domains;
    final double domainLatencyMillis;
    final double callerLatencyMillis;
    final double goodputWeight;
    final double roleChangeWeight;

    Deployment(
            int engines,
            int services,
            int domains,
            double domainLatencyMillis,
            double callerLatencyMillis,
            double goodputWeight,
            double roleChangeWeight) {
        this.engines = engines;
        this.services = services;
        this.domains = domains;
        this.domainLatencyMillis = domainLatencyMillis;
        this.callerLatencyMillis = callerLatencyMillis;
        this.goodputWeight = goodputWeight;
        this.roleChangeWeight = roleChangeWeight;
    }

    String label() {
        return SettingNames.of(this);
    }

    /** Parses the value of {@code --deployment}. */
    static final class Converter implements IStringConverter<Deployment> {
        @Override
        public Deployment convert(String value) {
            return SettingNames.parse(values(), value, "deployment");
        }
    }
}
