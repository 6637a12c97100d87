package org.cyclamenpaddle.standins.deployment;

/**
 * Shape of the prompts and answers of a model service.
 *
 * @param prefixes texts that many prompts begin with: circulars, site histories
 * @param prefixSkew exponent of the Zipf distribution over them
 * @param prefixTokens their lengths
 * @param ownTokens length of what follows, which no other prompt has
 * @param bareShare share of prompts that begin with none of them
 * @param bareTokens lengths of those
 * @param answerTokens mean length of an answer
 * @param teams teams that send requests
 * @param teamSkew exponent of the Zipf distribution over teams
 */
public record WorkloadShape(
        int prefixes,
        double prefixSkew,
        TokenRange prefixTokens,
        TokenRange ownTokens,
        double bareShare,
        TokenRange bareTokens,
        int answerTokens,
        int teams,
        double teamSkew) {

    public WorkloadShape {
        if (prefixes < 1 || teams < 1 || answerTokens < 1) {
            throw new IllegalArgumentException(
                    "shape needs prefixes, teams and answers: "
                            + prefixes
                            + ", "
                            + teams
                            + ", "
                            + answerTokens);
        }
        if (bareShare < 0 || bareShare > 1) {
            throw new IllegalArgumentException("share " + bareShare + " must be from 0 to 1");
        }
    }
}
