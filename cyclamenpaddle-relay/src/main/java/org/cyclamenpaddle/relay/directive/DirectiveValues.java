package org.cyclamenpaddle.relay.directive;

import java.util.Arrays;
import java.util.Collection;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.DoubleStream;

/**
 * Reads the values of directives as servers send them.
 *
 * <p>A number is a plain decimal one. Values with signs, exponents or any other text are ignored,
 * so that a faulty server can neither lift a limit nor stop all requests to it.
 */
public final class DirectiveValues {

    /**
     * Maximum time without requests, in milliseconds, so that a faulty value does not take a server
     * out of service for good.
     */
    static final long MAX_PAUSE_MILLIS = 600_000;

    /** Value of a flag that is set. */
    private static final String SET = "1";

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Larger and more precise numbers are of no use as a rate or a duration. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private DirectiveValues() {}

    /**
     * Reads the directives of a response. Each value may be a list of numbers.
     *
     * @param limits requests per second; the lowest number applies
     * @param pauses seconds without requests; the longest time applies, up to {@link
     *     #MAX_PAUSE_MILLIS}
     * @param leaving flags of a shutdown; only {@link #SET} announces one
     */
    public static Directives of(
            Collection<String> limits, Collection<String> pauses, Collection<String> leaving) {
        OptionalDouble lowest = numbers(limits).min();
        OptionalLong longest =
                numbers(pauses)
                        .mapToLong(seconds -> (long) Math.ceil(seconds * MILLIS_PER_SECOND))
                        .map(millis -> Math.min(MAX_PAUSE_MILLIS, millis))
                        .max();
        return new Directives(
                lowest, !limits.isEmpty() && lowest.isEmpty(), longest, leaving.contains(SET));
    }

    private static DoubleStream numbers(Collection<String> values) {
        return values.stream()
                .flatMap(value -> Arrays.stream(value.split(",", -1)))
                .map(String::strip)
                .filter(value -> DECIMAL.matcher(value).matches())
                .mapToDouble(Double::parseDouble);
    }
}
