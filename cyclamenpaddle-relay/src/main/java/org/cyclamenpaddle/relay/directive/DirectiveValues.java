package org.cyclamenpaddle.relay.directive;

import java.util.Arrays;
import java.util.Collection;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import java.util.stream.DoubleStream;

/**
 * Reads the values of directives as servers send them.
 *
 * <p>A number is a plain decimal one. Values with signs, exponents or any other text are ignored,
 * so that a faulty server can neither lift a limit nor stop all requests to it.
 */
public final class DirectiveValues {

    /** Larger and more precise numbers are of no use as a rate or a duration. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private DirectiveValues() {}

    /**
     * Reads a limit.
     *
     * @param values values of the header; each may be a list, of which the lowest number applies
     */
    public static Directives limit(Collection<String> values) {
        OptionalDouble lowest = numbers(values).min();
        return new Directives(lowest, !values.isEmpty() && lowest.isEmpty());
    }

    private static DoubleStream numbers(Collection<String> values) {
        return values.stream()
                .flatMap(value -> Arrays.stream(value.split(",", -1)))
                .map(String::strip)
                .filter(value -> DECIMAL.matcher(value).matches())
                .mapToDouble(Double::parseDouble);
    }
}
