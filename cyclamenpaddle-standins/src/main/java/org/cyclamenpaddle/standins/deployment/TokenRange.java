package org.cyclamenpaddle.standins.deployment;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Log-uniform distribution of token counts, in which all orders of magnitude are equally frequent.
 *
 * @param least minimum count, at least 1
 * @param most maximum count
 */
public record TokenRange(int least, int most) {

    public TokenRange {
        if (least < 1 || most < least) {
            throw new IllegalArgumentException(
                    "token range must satisfy 1 <= least <= most: least "
                            + least
                            + ", most "
                            + most);
        }
    }

    /** Returns a random count. */
    public int draw(UniformRandomProvider random) {
        double logarithm =
                Math.log(least) + random.nextDouble() * (Math.log(most) - Math.log(least));
        return (int) Math.round(Math.exp(logarithm));
    }
}
