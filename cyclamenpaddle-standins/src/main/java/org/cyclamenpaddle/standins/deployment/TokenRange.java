package org.cyclamenpaddle.standins.deployment;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Token counts drawn with a uniform logarithm, so that each order of magnitude is as frequent.
 *
 * @param least least count, above 0
 * @param most greatest count
 */
public record TokenRange(int least, int most) {

    public TokenRange {
        if (least < 1 || most < least) {
            throw new IllegalArgumentException("bad token range " + least + " to " + most);
        }
    }

    /** Returns a count drawn from {@code random}. */
    public int draw(UniformRandomProvider random) {
        double logarithm =
                Math.log(least) + random.nextDouble() * (Math.log(most) - Math.log(least));
        return (int) Math.round(Math.exp(logarithm));
    }
}
