package org.cyclamenpaddle.ctl.report;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Locale;
import java.util.Optional;

/** Output format of results and errors. */
public enum OutputFormat {
    /** Human-readable tables and messages. */
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

    public abstract void print(Report report, PrintStream out);

    public abstract void print(CommandError error, PrintStream err);

    /** Returns the value of the {@code --output} option for this format. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the format whose {@link #code()} is {@code code}. */
    public static Optional<OutputFormat> fromCode(String code) {
        return Arrays.stream(values()).filter(format -> format.code().equals(code)).findFirst();
    }
}
