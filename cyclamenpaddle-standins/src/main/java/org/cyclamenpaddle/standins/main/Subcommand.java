package org.cyclamenpaddle.standins.main;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cyclamenpaddle.standins.deployment.Declaration;
import org.cyclamenpaddle.standins.deployment.Deployment;
import org.cyclamenpaddle.standins.deployment.DeploymentFiles;
import org.cyclamenpaddle.standins.deployment.DeploymentPlan;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.engine.EngineStandin;
import org.cyclamenpaddle.standins.load.LoadOptions;
import org.cyclamenpaddle.standins.load.LoadRun;
import org.cyclamenpaddle.standins.plain.PlainServiceStandin;
import org.cyclamenpaddle.standins.platform.PlatformStandin;
import org.cyclamenpaddle.standins.report.MergedRuns;
import org.cyclamenpaddle.standins.report.Report;
import org.cyclamenpaddle.standins.report.RunSummary;
import org.cyclamenpaddle.standins.report.SummaryFiles;
import org.cyclamenpaddle.standins.report.SummaryTable;

/** Subcommands of the command line. */
enum Subcommand {
    PLATFORM {
        @Override
        Options options() {
            return portOption();
        }

        @Override
        void run(CommandLine line) {
            new PlatformStandin().start(port(line));
            serve();
        }
    },
    ENGINE {
        @Override
        Options options() {
            return portOption()
                    .addOption(Option.builder().longOpt("config").hasArg().argName("FILE").get());
        }

        @Override
        void run(CommandLine line) throws IOException {
            EngineSettings settings =
                    line.hasOption("config")
                            ? EngineSettings.fromJson(
                                    Files.readString(Path.of(line.getOptionValue("config"))))
                            : EngineSettings.DEFAULT;
            new EngineStandin(settings.haltingOnCrash()).start(port(line));
            serve();
        }
    },
    PLAIN {
        @Override
        Options options() {
            return portOption();
        }

        @Override
        void run(CommandLine line) {
            new PlainServiceStandin().start(port(line));
            serve();
        }
    },
    FLEET {
        @Override
        Options options() {
            return new Options().addOption(required(FILE, "FILE"));
        }

        @Override
        void run(CommandLine line) throws IOException {
            FleetFile.read(Path.of(line.getOptionValue(FILE))).start();
            serve();
        }
    },
    DEPLOYMENT {
        @Override
        Options options() {
            return new Options()
                    .addOption(required("deployment", "NAME"))
                    .addOption(required("speed", "FACTOR"))
                    .addOption(required("base-port", "PORT"))
                    .addOption(required("entry-hosts", "COUNT"))
                    .addOption(required("policy", "POLICY"))
                    .addOption(required("out", "DIR"));
        }

        @Override
        void run(CommandLine line) throws IOException {
            String name = line.getOptionValue("deployment");
            DeploymentPlan plan =
                    new DeploymentPlan(
                            Deployment.fromCode(name)
                                    .orElseThrow(
                                            () ->
                                                    new IllegalArgumentException(
                                                            "unknown deployment " + name)),
                            Double.parseDouble(line.getOptionValue("speed")),
                            Integer.parseInt(line.getOptionValue("base-port")),
                            Integer.parseInt(line.getOptionValue("entry-hosts")));
            new DeploymentFiles(plan, line.getOptionValue("policy"))
                    .write(Path.of(line.getOptionValue("out")));
        }
    },
    DECLARE {
        @Override
        Options options() {
            return new Options()
                    .addOption(required("entry", "HOST:PORT"))
                    .addOption(required(FILE, "FILE"));
        }

        @Override
        void run(CommandLine line) throws IOException {
            new Declaration(line.getOptionValue("entry"))
                    .declare(Declaration.read(Path.of(line.getOptionValue(FILE))));
            System.exit(EXIT_DONE);
        }
    },
    LOAD {
        @Override
        Options options() {
            return LoadOptions.commandLine();
        }

        @Override
        void run(CommandLine line) throws IOException {
            LoadOptions options = LoadOptions.parse(line);
            RunSummary summary = new LoadRun(options).run();
            SummaryFiles.write(options.out(), summary);
            System.out.print(SummaryTable.of(MergedRuns.of(List.of(summary))));
            System.exit(EXIT_DONE);
        }
    },
    REPORT {
        @Override
        Options options() {
            return new Options();
        }

        @Override
        void run(CommandLine line) throws IOException {
            if (line.getArgList().size() != 1) {
                throw new IllegalArgumentException("expected exactly one directory");
            }
            System.out.print(Report.write(Path.of(line.getArgList().get(0))));
        }
    };

    /** Line printed when all stand-ins are listening. */
    static final String READY = "ready";

    private static final int EXIT_DONE = 0;
    private static final String PORT = "port";
    private static final String FILE = "file";

    /** Returns the subcommand's options. */
    abstract Options options();

    /** Runs the subcommand; one that starts stand-ins does not return. */
    abstract void run(CommandLine line) throws IOException;

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<Subcommand> fromCode(String code) {
        return Arrays.stream(values()).filter(command -> command.code().equals(code)).findFirst();
    }

    private static Options portOption() {
        return new Options().addOption(required(PORT, "PORT"));
    }

    private static Option required(String name, String argument) {
        return Option.builder().longOpt(name).hasArg().argName(argument).required().get();
    }

    private static int port(CommandLine line) {
        return Integer.parseInt(line.getOptionValue(PORT));
    }

    /** Prints the ready line and blocks until SIGTERM, whose default action ends the process. */
    private static void serve() {
        System.out.println(READY);
        System.out.flush();
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
