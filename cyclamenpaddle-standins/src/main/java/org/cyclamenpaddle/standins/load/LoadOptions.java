package org.cyclamenpaddle.standins.load;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cyclamenpaddle.standins.deployment.Deployment;

/**
 * Options of a load run.
 *
 * @param deployment deployment that defines the workload shape and the latency targets
 * @param entries entry hosts, each as {@code host:port}
 * @param engines engine stand-ins, each as {@code host:port}
 * @param load offered load, as a share of the decode pool's capacity
 * @param seconds duration of the arrivals, in modelled seconds
 * @param speed factor by which modelled time runs faster than real time
 * @param seed seed of the arrivals, prompts and engine crashes
 * @param policy label of the compared variant
 * @param out output directory of the summary
 * @param killEveryMillis interval of engine crashes, in modelled milliseconds; empty for none
 * @param loadLagMillis delay of the engines' published load; empty to leave it unchanged
 */
public record LoadOptions(
        Deployment deployment,
        List<String> entries,
        List<String> engines,
        double load,
        double seconds,
        double speed,
        long seed,
        String policy,
        Path out,
        Optional<Long> killEveryMillis,
        Optional<Long> loadLagMillis) {

    private static final String DEPLOYMENT = "deployment";
    private static final String ENTRY = "entry";
    private static final String ENGINES = "engines";
    private static final String LOAD = "load";
    private static final String SECONDS = "seconds";
    private static final String SPEED = "speed";
    private static final String SEED = "seed";
    private static final String POLICY = "policy";
    private static final String OUT = "out";
    private static final String KILL = "kill-runner-every";
    private static final String LAG = "load-lag";

    public LoadOptions {
        entries = List.copyOf(entries);
        engines = List.copyOf(engines);
        if (load <= 0 || seconds <= 0 || speed <= 0) {
            throw new IllegalArgumentException(
                    "load "
                            + load
                            + ", seconds "
                            + seconds
                            + " and speed "
                            + speed
                            + " must be positive");
        }
        if (killEveryMillis.filter(millis -> millis <= 0).isPresent()) {
            throw new IllegalArgumentException("interval of engine crashes must be positive");
        }
    }

    /** Returns the command line options that {@link #parse} reads. */
    public static Options commandLine() {
        return new Options()
                .addOption(required(DEPLOYMENT, "NAME"))
                .addOption(required(ENTRY, "HOST:PORT,..."))
                .addOption(required(ENGINES, "HOST:PORT,..."))
                .addOption(required(LOAD, "SHARE"))
                .addOption(required(SECONDS, "SECONDS"))
                .addOption(optional(SPEED, "FACTOR"))
                .addOption(required(SEED, "NUMBER"))
                .addOption(required(POLICY, "LABEL"))
                .addOption(required(OUT, "DIR"))
                .addOption(optional(KILL, "MILLIS"))
                .addOption(optional(LAG, "MILLIS"));
    }

    /**
     * Parses the options from a command line.
     *
     * @throws IllegalArgumentException if a value is invalid
     */
    public static LoadOptions parse(CommandLine line) {
        String deployment = line.getOptionValue(DEPLOYMENT);
        return new LoadOptions(
                Deployment.fromCode(deployment)
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "unknown deployment " + deployment)),
                addresses(line.getOptionValue(ENTRY)),
                addresses(line.getOptionValue(ENGINES)),
                Double.parseDouble(line.getOptionValue(LOAD)),
                Double.parseDouble(line.getOptionValue(SECONDS)),
                Double.parseDouble(line.getOptionValue(SPEED, "1")),
                Long.parseLong(line.getOptionValue(SEED)),
                line.getOptionValue(POLICY),
                Path.of(line.getOptionValue(OUT)),
                Optional.ofNullable(line.getOptionValue(KILL)).map(Long::valueOf),
                Optional.ofNullable(line.getOptionValue(LAG)).map(Long::valueOf));
    }

    private static List<String> addresses(String list) {
        return Arrays.stream(list.split(","))
                .filter(address -> !address.isEmpty())
                .collect(Collectors.toList());
    }

    private static Option required(String name, String argument) {
        return Option.builder().longOpt(name).hasArg().argName(argument).required().get();
    }

    private static Option optional(String name, String argument) {
        return Option.builder().longOpt(name).hasArg().argName(argument).get();
    }
}
