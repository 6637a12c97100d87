package org.cyclamenpaddle.standins.deployment;

/**
 * Distribution of the prompts and completions of a model service.
 *
 * @param prefixes number of shared prompt prefixes, such as circulars and site histories
 * @param prefixSkew exponent of the Zipf distribution over the prefixes
 * @param prefixTokens lengths of the prefixes
 * @param ownTokens lengths of the unique part that follows the prefix
 * @param bareShare share of prompts without a shared prefix
 * @param bareTokens lengths of the prompts without a shared prefix
 * @param answerTokens mean completion length in tokens
 * @param teams number of teams that send requests
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
                    "prefixes, teams and answerTokens must be at least 1: "
                            + prefixes
                            + ", "
                            + teams
                            + ", "
                            + answerTokens);
        }
        if (bareShare < 0 || bareShare > 1) {
            throw new IllegalArgumentException(
                    "bareShare " + bareShare + " must be between 0 and 1");
        }
    }
}
