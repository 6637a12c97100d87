package org.cyclamenpaddle.routing.reservation;

import java.util.Collection;
import org.cyclamenpaddle.routing.memory.RunningGeneration;

/** Forecasts the memory that more urgent requests will need at an engine. */
final class UrgentMemory {

    /**
     * Safety factor over the expected number of more urgent requests, which is below 1: with the
     * mean alone, bursts remained in which the most urgent class was served worse than another.
     */
    private static final double SAFETY_FACTOR = 2;

    private UrgentMemory() {}

    /**
     * Returns the memory that more urgent requests are expected to need before memory becomes free
     * again.
     *
     * <p>Of n running generations, one ends on average in an n-th of a generation's duration. In a
     * whole duration, about as many urgent ones arrive as are running now, so in that time their
     * share of all.
     *
     * @param running generations that the engine runs, as last reported
     * @param priority priority of the request; 0 is the highest
     * @param averageTokens memory that an average request needs, in tokens
     */
    static long tokens(Collection<RunningGeneration> running, int priority, long averageTokens) {
        long urgent =
                running.stream()
                        .filter(generation -> generation.priority().orElse(priority) < priority)
                        .count();
        return running.isEmpty()
                ? 0
                : Math.round(SAFETY_FACTOR * averageTokens * urgent / running.size());
    }
}
