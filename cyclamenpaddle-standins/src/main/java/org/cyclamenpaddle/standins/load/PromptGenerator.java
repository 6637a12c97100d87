package org.cyclamenpaddle.standins.load;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.standins.deployment.TokenRange;
import org.cyclamenpaddle.standins.deployment.WorkloadShape;

/** Generates prompts and teams of a workload shape from a seeded random generator. */
final class PromptGenerator {

    private final UniformRandomProvider mRandom;
    private final WorkloadShape mShape;
    private final List<String> mPrefixes;
    private final SharedStateDiscreteSampler mPrefixRank;
    private final SharedStateDiscreteSampler mTeamRank;

    PromptGenerator(WorkloadShape shape, UniformRandomProvider random) {
        mRandom = random;
        mShape = shape;
        mPrefixes =
                IntStream.range(0, shape.prefixes())
                        .mapToObj(i -> text(shape.prefixTokens()))
                        .collect(Collectors.toList());
        mPrefixRank =
                RejectionInversionZipfSampler.of(random, shape.prefixes(), shape.prefixSkew());
        mTeamRank = RejectionInversionZipfSampler.of(random, shape.teams(), shape.teamSkew());
    }

    String prompt() {
        if (mRandom.nextDouble() < mShape.bareShare()) {
            return text(mShape.bareTokens());
        }
        return mPrefixes.get(mPrefixRank.sample() - 1) + text(mShape.ownTokens());
    }

    String team() {
        return "team-" + mTeamRank.sample();
    }

    private String text(TokenRange range) {
        int chars = range.draw(mRandom) * PromptText.CHARS_PER_TOKEN;
        StringBuilder text = new StringBuilder(chars);
        while (text.length() < chars) {
            text.append(Long.toString(mRandom.nextLong() >>> 1, Character.MAX_RADIX)).append(' ');
        }
        text.setLength(chars);
        return text.toString();
    }
}
