package org.cyclamenpaddle.ctl.report;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Locale;
import java.util.Optional;

/** Form in which results and errors are printed. */
public enum OutputFormat {
    /** Tables and sentences for people. */
    TABLE {
        @Override
        public void print(Report report, PrintStream out) {
            Iterator<ReportTable> tables = report.tables().iterator();
            while (tables.hasNext()) {
                tables.next().lines().forEach(out::println);
                if (tables.hasNext()) {
                    out.println();
                }
            }
        }

        @Override
        public void print(CommandError error, PrintStream err) {
            err.println("cyclamenctl: " + error.message());
        }
    },
    /** One JSON document. */
    JSON {
        @Override
        public void print(Report report, PrintStream out) {
            out.println(report.document().toPrettyString());
        }

        @Override
        public void print(CommandError error, PrintStream err) {
            err.println(Json.error(error).toPrettyString());
        }
    };

    /** Prints a result. */
    public abstract void print(Report report, PrintStream out);

    /** Prints an error. */
    public abstract void print(CommandError error, PrintStream err);

    /** Returns the word of the command line for this format. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the format whose {@link #code()} is {@code code}. */
    public static Optional<OutputFormat> fromCode(String code) {
        return Arrays.stream(values()).filter(format -> format.code().equals(code)).findFirst();
    }
}
