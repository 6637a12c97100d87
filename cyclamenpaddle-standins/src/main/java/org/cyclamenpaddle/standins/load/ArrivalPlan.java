package org.cyclamenpaddle.standins.load;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.standins.deployment.WorkloadShape;

/** Generates open-loop arrivals with exponential interarrival times, reproducible by their seed. */
final class ArrivalPlan {

    private static final double MICROS_PER_SECOND = 1_000_000;

    private ArrivalPlan() {}

    /**
     * Generates the requests of a run.
     *
     * @param shape workload shape of the requests
     * @param perSecond mean arrival rate per modelled second
     * @param seconds duration of the run, in modelled seconds
     * @param seed seed of all random choices
     */
    static List<PlannedRequest> of(
            WorkloadShape shape, double perSecond, double seconds, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        PromptGenerator prompts = new PromptGenerator(shape, random);
        ZigguratSampler.Exponential intervals =
                ZigguratSampler.Exponential.of(random, MICROS_PER_SECOND / perSecond);
        List<PlannedRequest> plan = new ArrayList<>();
        double at = intervals.sample();
        while (at < seconds * MICROS_PER_SECOND) {
            plan.add(new PlannedRequest((long) at, prompts.team(), prompts.prompt()));
            at += intervals.sample();
        }
        return plan;
    }
}
