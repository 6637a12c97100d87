package org.cyclamenpaddle.routing.memory;

/** Probability that a generation becomes longer than a number of tokens. */
@FunctionalInterface
public interface SurvivalFunction {

    /** Returns the share of generations that produce more than {@code tokens}, from 0 to 1. */
    double survival(long tokens);

    /**
     * Returns the survival function of generations whose lengths are {@code factor} times as large.
     */
    default SurvivalFunction scaled(double factor) {
        return tokens -> survival((long) (tokens / factor));
    }

    /**
     * Returns the survival function of a generation that produces exactly {@code length} tokens.
     */
    static SurvivalFunction exactly(long length) {
        return tokens -> tokens < length ? 1 : 0;
    }
}
