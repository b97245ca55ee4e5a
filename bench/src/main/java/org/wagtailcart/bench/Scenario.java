package org.wagtailcart.bench;

import static org.wagtailcart.bench.Mix.BALANCED;
import static org.wagtailcart.bench.Mix.OUTPUT_HEAVY;
import static org.wagtailcart.bench.Mix.PROMPT_HEAVY;

import com.beust.jcommander.IStringConverter;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.wagtailcart.common.SettingNames;

/** Load and fault scenarios of the simulation. Times are virtual and count from the start of a run. */
enum Scenario {
    STEADY(0) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 0.85));
        }
    },
    SWING(-1) {
        @Override
        List<Phase> phases() {
            return List.of(
                    new Phase(0, BALANCED, 0.85),
                    new Phase(150_000, PROMPT_HEAVY, 0.85),
                    new Phase(300_000, BALANCED, 0.85),
                    new Phase(420_000, OUTPUT_HEAVY, 0.85));
        }
    },
    STEP(-1) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 0.85), new Phase(150_000, PROMPT_HEAVY, 0.85));
        }
    },
    BURST(0) {
        @Override
        List<Phase> phases() {
            return List.of(
                    new Phase(0, BALANCED, 0.65),
                    new Phase(200_000, BALANCED, 1.3),
                    new Phase(215_000, BALANCED, 0.65),
                    new Phase(350_000, PROMPT_HEAVY, 1.1),
                    new Phase(362_000, BALANCED, 0.65));
        }
    },
    BACK_AND_FORTH(0) {
        @Override
        List<Phase> phases() {
            return LongStream.range(0, 54)
                    .mapToObj(i -> new Phase(i * 10_000, i % 2 == 0 ? BALANCED : PROMPT_HEAVY, 0.65))
                    .toList();
        }
    },
    HIDDEN_POWER(0) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 0.6));
        }

        @Override
        int powerLimit(long atMillis) {
            return atMillis < 200_000 ? 9 : atMillis < 350_000 ? 6 : 11;
        }

        @Override
        List<Long> powerChanges() {
            return List.of(200_000L, 350_000L);
        }
    },
    ENGINE_LOST(-1) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 0.8));
        }

        @Override
        List<EngineCrash> engineCrashes() {
            return List.of(new EngineCrash(0.0, 150_000, 250_000), new EngineCrash(0.99, 300_000, 320_000));
        }
    },
    STALE_REPORTS(0) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 0.8));
        }

        @Override
        double reportLagMillis(long atMillis) {
            return atMillis > 120_000 ? 5_000 : super.reportLagMillis(atMillis);
        }

        @Override
        double reportLossProbability(long atMillis) {
            return atMillis > 120_000 ? 0.5 : 0;
        }
    },
    FLAPPING_SERVICE(0) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 0.4));
        }

        @Override
        double serviceRequestsPerSecond() {
            return 60;
        }

        @Override
        ServiceState serviceState(int index, long atMillis) {
            boolean down = index == 0 && atMillis > 120_000 && atMillis < 300_000;
            boolean flapping = index == 1 && atMillis > 250_000 && atMillis < 480_000 && (atMillis / 4_000) % 2 == 0;
            return down ? ServiceState.FAILING : flapping ? ServiceState.HANGING : ServiceState.UP;
        }
    },
    OVERLOAD(0) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 1.5));
        }
    },
    NOISE(0) {
        @Override
        List<Phase> phases() {
            return List.of(new Phase(0, BALANCED, 0.75));
        }

        @Override
        double noise() {
            return 0.3;
        }
    };

    static final long WARM_UP_MILLIS = 90_000;
    static final long END_MILLIS = 540_000;

    private final int allowedRoleChanges;

    Scenario(int allowedRoleChanges) {
        this.allowedRoleChanges = allowedRoleChanges;
    }

    /**
     * A crash and restart of an engine.
     *
     * @param position position of the engine in the fleet, from 0 to 1
     * @param atMillis time of the crash
     * @param restartMillis time of the restart
     */
    record EngineCrash(double position, long atMillis, long restartMillis) {}

    abstract List<Phase> phases();

    /** Returns whether the target on role changes allows any in this scenario. */
    boolean allowsRoleChanges() {
        return allowedRoleChanges != 0;
    }

    /** Returns the number of engines that may run above the soft limit at once. */
    int powerLimit(long atMillis) {
        return Integer.MAX_VALUE;
    }

    /** Returns the times at which the power limit changes. */
    List<Long> powerChanges() {
        return List.of();
    }

    List<EngineCrash> engineCrashes() {
        return List.of();
    }

    /** Returns the mean delay of a load report. */
    double reportLagMillis(long atMillis) {
        return 500;
    }

    /** Returns the probability that a sync of an engine with the control group is lost. */
    double reportLossProbability(long atMillis) {
        return 0;
    }

    /** Returns the mean rate of requests to plain services. */
    double serviceRequestsPerSecond() {
        return 10;
    }

    ServiceState serviceState(int index, long atMillis) {
        return ServiceState.UP;
    }

    /** Returns the amplitude of the noise in arrival rates, reported values and step times; 0 for none. */
    double noise() {
        return 0;
    }

    String label() {
        return SettingNames.of(this);
    }

    Phase phaseAt(double atMillis) {
        List<Phase> phases = new ArrayList<>(phases());
        phases.removeIf(phase -> phase.fromMillis() > atMillis);
        return phases.get(phases.size() - 1);
    }

    /** Parses the value of {@code --scenario}. */
    static final class Converter implements IStringConverter<Scenario> {
        @Override
        public Scenario convert(String value) {
            return SettingNames.parse(values(), value, "scenario");
        }
    }
}
