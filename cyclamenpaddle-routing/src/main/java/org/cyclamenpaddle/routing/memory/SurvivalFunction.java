package org.cyclamenpaddle.routing.memory;

/** How likely a generation becomes longer than a number of tokens. */
@FunctionalInterface
public interface SurvivalFunction {

    /** Returns the share of generations that make more than {@code tokens}, from 0 to 1. */
    double outlives(long tokens);

    /** Returns the same for generations whose lengths are {@code factor} times as large. */
    default SurvivalFunction scaled(double factor) {
        return tokens -> outlives((long) (tokens / factor));
    }

    /** Returns the survival of a generation that makes exactly so many tokens. */
    static SurvivalFunction exactly(long length) {
        return tokens -> tokens < length ? 1 : 0;
    }
}
