package org.cyclamenpaddle.standins.load;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.standins.deployment.WorkloadShape;

/** Open-loop arrivals with exponential interarrival times; the same seed gives the same plan. */
final class ArrivalPlan {

    private static final double MICROS_PER_SECOND = 1_000_000;

    private ArrivalPlan() {}

    /**
     * Plans a run.
     *
     * @param shape shape of the requests
     * @param perSecond mean arrivals for each modelled second
     * @param seconds length of the run, in modelled seconds
     * @param seed seed of all that is drawn
     */
    static List<PlannedRequest> of(
            WorkloadShape shape, double perSecond, double seconds, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        PromptSource prompts = new PromptSource(shape, random);
        ZigguratSampler.Exponential gaps =
                ZigguratSampler.Exponential.of(random, MICROS_PER_SECOND / perSecond);
        List<PlannedRequest> plan = new ArrayList<>();
        double at = gaps.sample();
        while (at < seconds * MICROS_PER_SECOND) {
            plan.add(new PlannedRequest((long) at, prompts.team(), prompts.prompt()));
            at += gaps.sample();
        }
        return plan;
    }
}
