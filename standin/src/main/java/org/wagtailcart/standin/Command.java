package org.wagtailcart.standin;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;

/** A sub-command of the program. */
abstract class Command {
    /** Converts {@code IP:PORT}. */
    public static final class AddressConverter implements IStringConverter<Address> {
        @Override
        public Address convert(String value) {
            return Address.parse(value);
        }
    }

    /** Starts the stand-in. */
    abstract void run();

    /** Returns whether the process stays after {@link #run}. */
    boolean serves() {
        return true;
    }

    /** Returns all sub-commands by name. */
    static Map<String, Command> all() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("engine", new Engine());
        commands.put("service", new Service());
        commands.put("weights", new Weights());
        commands.put("hosts", new Hosts());
        commands.put("power", new Power());
        return commands;
    }

    /** A sub-command that listens. */
    abstract static class Listening extends Command {
        @Parameter(
                names = "--listen",
                description = "IP:PORT of the HTTP listener",
                required = true,
                converter = AddressConverter.class)
        private Address listen = new Address("127.0.0.1", 1);

        final Address listen() {
            return listen;
        }
    }

    @Parameters(commandDescription = "Stand-in for an engine")
    static final class Engine extends Listening {
        @Parameter(names = "--model", description = "Model loaded at start", required = true)
        private String model = "";

        @Parameter(names = "--adapter", description = "Adapter loaded at start")
        private String adapter = "";

        @Parameter(names = "--weight-version", description = "Weight version loaded at start")
        private String weightVersion = "1";

        @Parameter(names = "--role", description = "prefill, decode or mixed")
        private String role = "mixed";

        @Parameter(names = "--ignore-fencing", description = "Carry out orders with a stale fencing token")
        private boolean ignoreFencing;

        @Parameter(names = "--fast", description = "Use the cost model of tests")
        private boolean fast;

        @Parameter(names = "--cache-tokens", description = "Size of the prefix cache in tokens")
        private int cacheTokens = 400_000;

        @Parameter(names = "--change-millis", description = "Time away for an order, without loading weights")
        private long changeMillis = 4_000;

        @Parameter(names = "--load-lag-millis", description = "Age of the load it reports")
        private long loadLagMillis = 1_500;

        @Parameter(names = "--cache-event-lag-millis", description = "Age of the cache events it reports")
        private long cacheEventLagMillis = 1_000;

        @Parameter(names = "--cache-event-gap", description = "Lose every so many cache events, 0 for none")
        private int cacheEventGap = 50;

        @Parameter(names = "--weights", description = "IP:PORT of the weight store", converter = AddressConverter.class)
        private @Nullable Address weights;

        @Parameter(names = "--power", description = "IP:PORT of the power feed", converter = AddressConverter.class)
        private @Nullable Address power;

        @Override
        void run() {
            EngineTarget target = new EngineTarget(EngineRole.parse(role), model, adapter, weightVersion);
            EngineOptions options = new EngineOptions(
                    listen(),
                    target,
                    !ignoreFencing,
                    fast ? CostModel.fast() : CostModel.standard(),
                    cacheTokens,
                    changeMillis,
                    loadLagMillis,
                    cacheEventLagMillis,
                    cacheEventGap,
                    Optional.ofNullable(weights),
                    Optional.ofNullable(power),
                    true);
            new StandinEngine(options).start();
        }
    }

    @Parameters(commandDescription = "Stand-in for a plain service")
    static final class Service extends Listening {
        @Parameter(names = "--work-millis", description = "Time that a request takes")
        private long workMillis = 20;

        @Override
        void run() {
            new StandinService(new ServiceOptions(listen(), workMillis, true)).start();
        }
    }

    @Parameters(commandDescription = "Stand-in for the weight store")
    static final class Weights extends Listening {
        @Parameter(names = "--turns", description = "Loads served at once")
        private int turns = 2;

        @Parameter(names = "--load-millis", description = "Time of one load")
        private long loadMillis = 3_000;

        @Override
        void run() {
            new WeightStore(new WeightStore.Options(listen(), turns, loadMillis)).start();
        }
    }

    @Parameters(commandDescription = "Stand-in for the host list")
    static final class Hosts extends Listening {
        @Parameter(names = "--lag-millis", description = "Age of what it tells")
        private long lagMillis = 10_000;

        @Override
        void run() {
            new HostList(new HostList.Options(listen(), lagMillis)).start();
        }
    }

    @Parameters(commandDescription = "Stand-in for the power feed that engines share")
    static final class Power extends Listening {
        @Parameter(names = "--limit", description = "Engines that may run hard at once")
        private int limit = 9;

        @Override
        void run() {
            new PowerFeed(listen(), limit).start();
        }
    }
}
