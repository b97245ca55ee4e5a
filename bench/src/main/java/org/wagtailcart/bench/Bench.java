package org.wagtailcart.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Main program of the benchmark that compares routing, role and power policies in simulation. */
public final class Bench {
    @Parameter(names = "--scenario", converter = Scenario.Converter.class, description = "run this scenario only")
    private @Nullable Scenario scenario;

    @Parameter(names = "--deployment", converter = Deployment.Converter.class, description = "run this deployment only")
    private @Nullable Deployment deployment;

    @Parameter(names = "--seed", description = "random seed of the workloads and the simulation")
    private long seed = Suite.DEFAULT_SEED;

    @Parameter(names = "--json", description = "print the results as JSON")
    private boolean json;

    @Parameter(names = "--markdown", description = "print the results as Markdown tables (default)")
    private boolean markdown;

    @Parameter(names = "--svg", description = "print an SVG bar chart of goodput relative to the informed policy")
    private boolean svg;

    @Parameter(names = "--check", description = "exit with status 1 when a target of design section 12 is missed")
    private boolean check;

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean help;

    private Bench() {}

    /** Runs the selected scenarios; exits with 2 on invalid options and, with {@code --check}, 1 on a missed target. */
    public static void main(String[] args) {
        Bench bench = new Bench();
        JCommander commander =
                JCommander.newBuilder().programName("bench").addObject(bench).build();
        try {
            commander.parse(args);
        } catch (ParameterException | org.wagtailcart.common.WagtailcartException e) {
            Console.error(String.valueOf(e.getMessage()));
            System.exit(2);
        }
        if (bench.help) {
            commander.usage();
            return;
        }
        System.exit(bench.run());
    }

    private int run() {
        List<Result> results = Suite.run(
                scenario == null ? Arrays.asList(Scenario.values()) : List.of(scenario),
                deployment == null ? Arrays.asList(Deployment.values()) : List.of(deployment),
                seed);
        if (json) {
            Console.print(Report.json(results));
        }
        if (svg) {
            Console.print(Plot.svg(results));
        }
        if (markdown || !(json || svg)) {
            Console.print(Report.markdown(results));
        }
        List<Targets.Miss> missed = Targets.misses(results);
        if (check) {
            missed.forEach(miss -> Console.error(miss.text()));
        }
        return check && !missed.isEmpty() ? 1 : 0;
    }
}
