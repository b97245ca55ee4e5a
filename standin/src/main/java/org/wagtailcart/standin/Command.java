package org.wagtailcart.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;

/** A subcommand of the program, with its options. */
abstract class Command {
    /** Parses an option value of the form {@code IP:PORT}. */
    public static final class AddressConverter implements IStringConverter<Address> {
        @Override
        public Address convert(String value) {
            return Address.parse(value);
        }
    }

    /** Runs the subcommand; one that serves returns once its listener is open. */
    abstract void run() throws InterruptedException;

    /** Returns whether the process keeps running after {@link #run} returns. */
    boolean serves() {
        return true;
    }

    /** Returns a new instance of every subcommand by name. */
    static Map<String, Command> all() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("engine", new Engine());
        commands.put("service", new Service());
        commands.put("weights", new Weights());
        commands.put("hosts", new Hosts());
        commands.put("power", new Power());
        commands.put("relay", new RelayCommand());
        commands.put("load", new Load());
        return commands;
    }

    /** A subcommand that opens a listener. */
    abstract static class Listening extends Command {
        @Parameter(
                names = "--listen",
                description = "IP:PORT to listen on",
                required = true,
                converter = AddressConverter.class)
        private Address listen = new Address("127.0.0.1", 1);

        final Address listen() {
            return listen;
        }
    }

    @Parameters(commandDescription = "Stand-in for an inference engine")
    static final class Engine extends Listening {
        @Parameter(names = "--model", description = "Model loaded at start", required = true)
        private String model = "";

        @Parameter(names = "--adapter", description = "Adapter loaded at start")
        private String adapter = "";

        @Parameter(names = "--weight-version", description = "Weight version loaded at start")
        private String weightVersion = "1";

        @Parameter(names = "--role", description = "prefill, decode or mixed")
        private String role = "mixed";

        @Parameter(names = "--ignore-fencing", description = "Carry out orders with a stale fencing token, too")
        private boolean ignoreFencing;

        @Parameter(names = "--fast", description = "Use the cost model of tests, with steps of 1 ms")
        private boolean fast;

        @Parameter(names = "--cache-tokens", description = "Size of the prefix cache in tokens")
        private int cacheTokens = 400_000;

        @Parameter(
                names = "--change-millis",
                description = "Time out of service for an order, without the time to load weights")
        private long orderMillis = 4_000;

        @Parameter(names = "--load-lag-millis", description = "Age of the reported load")
        private long loadLagMillis = 1_500;

        @Parameter(names = "--cache-event-lag-millis", description = "Age of the reported prefix cache events")
        private long cacheEventLagMillis = 1_000;

        @Parameter(names = "--cache-event-gap", description = "Drop every Nth prefix cache event, 0 for none")
        private int cacheEventDropInterval = 50;

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
                    orderMillis,
                    loadLagMillis,
                    cacheEventLagMillis,
                    cacheEventDropInterval,
                    Optional.ofNullable(weights),
                    Optional.ofNullable(power),
                    true);
            new StandinEngine(options).start();
        }
    }

    @Parameters(commandDescription = "Stand-in for a plain service")
    static final class Service extends Listening {
        @Parameter(names = "--work-millis", description = "Processing time of a request")
        private long workMillis = 20;

        @Override
        void run() {
            new StandinService(new ServiceOptions(listen(), workMillis, true)).start();
        }
    }

    @Parameters(commandDescription = "Stand-in for the weight store")
    static final class Weights extends Listening {
        @Parameter(names = "--turns", description = "Concurrent loads; others are queued")
        private int maxConcurrentLoads = 2;

        @Parameter(names = "--load-millis", description = "Duration of a load")
        private long loadMillis = 3_000;

        @Override
        void run() {
            new WeightStore(new WeightStore.Options(listen(), maxConcurrentLoads, loadMillis)).start();
        }
    }

    @Parameters(commandDescription = "Stand-in for the host list")
    static final class Hosts extends Listening {
        @Parameter(names = "--lag-millis", description = "Age of the reported host list")
        private long lagMillis = 10_000;

        @Override
        void run() {
            new HostList(new HostList.Options(listen(), lagMillis)).start();
        }
    }

    @Parameters(commandDescription = "TCP relay that can drop bytes without closing connections")
    static final class RelayCommand extends Listening {
        @Parameter(
                names = "--target",
                description = "IP:PORT that connections are relayed to",
                required = true,
                converter = AddressConverter.class)
        private Address target = new Address("127.0.0.1", 1);

        @Parameter(
                names = "--control",
                description = "IP:PORT of the HTTP listener that sets the mode",
                required = true,
                converter = AddressConverter.class)
        private Address control = new Address("127.0.0.1", 1);

        @Override
        void run() {
            new Relay(new Relay.Options(listen(), target, control)).start();
        }
    }

    @Parameters(commandDescription = "Open-loop load generator for entries")
    static final class Load extends Command {
        @Parameter(
                names = "--entry",
                description = "IP:PORT of an entry's caller listener; may be repeated",
                required = true,
                converter = AddressConverter.class)
        private List<Address> entries = new ArrayList<>();

        @Parameter(names = "--model", description = "Model of the completion requests", required = true)
        private String model = "";

        @Parameter(
                names = "--service",
                description = "Service of the calls with an idempotency key; no such calls without it")
        private String service = "";

        @Parameter(names = "--service-path", description = "Path of the calls with an idempotency key")
        private String servicePath = "/book";

        @Parameter(names = "--workspace", description = "Workspace of the requests")
        private String workspace = "default";

        @Parameter(names = "--seed", description = "Random seed of arrival times and lengths")
        private long seed = 1;

        @Parameter(names = "--seconds", description = "Time over which requests arrive")
        private long seconds = 60;

        @Parameter(names = "--rate", description = "Mean arrival rate in requests per second")
        private double rate = 10;

        @Parameter(
                names = "--swing-seconds",
                description = "Period of the change between a prompt-heavy and an output-heavy mix")
        private long mixPeriodSeconds = 60;

        @Parameter(names = "--keyed-share", description = "Share of calls with an idempotency key, 0 to 1")
        private double keyedShare = 0.1;

        @Parameter(names = "--length-scale", description = "Factor on prompt and output lengths")
        private double lengthScale = 1;

        @Parameter(names = "--deadline-millis", description = "Deadline of each request")
        private long deadlineMillis = 60_000;

        @Parameter(names = "--json", description = "Print the result as JSON")
        private boolean json;

        @Override
        boolean serves() {
            return false;
        }

        @Override
        void run() throws InterruptedException {
            LoadResult result = new LoadGenerator(options()).run();
            Console.line(json ? new String(Json.write(result), UTF_8) : result.text());
        }

        LoadOptions options() {
            return new LoadOptions(
                    entries,
                    model,
                    service,
                    servicePath,
                    workspace,
                    seed,
                    seconds * 1000,
                    rate,
                    mixPeriodSeconds * 1000,
                    keyedShare,
                    lengthScale,
                    deadlineMillis);
        }
    }

    @Parameters(commandDescription = "Stand-in for the power feed that engines share")
    static final class Power extends Listening {
        @Parameter(names = "--limit", description = "Engines that may run above the soft limit at once")
        private int limit = 9;

        @Override
        void run() {
            new PowerFeed(listen(), limit).start();
        }
    }
}
