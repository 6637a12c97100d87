package org.cyclamenpaddle.relay.team;

import java.util.OptionalLong;

/** Unit in which the requests of a team count against its quota. */
public enum QuotaUnit {
    /** Each request counts as one. */
    REQUESTS {
        @Override
        long cost(OptionalLong declaredTokens, long plainTokens) {
            return 1;
        }
    },
    /** A request counts as the tokens that it declares, or as a fixed number without any. */
    TOKENS {
        @Override
        long cost(OptionalLong declaredTokens, long plainTokens) {
            return declaredTokens.orElse(plainTokens);
        }
    };

    /**
     * Returns what a request counts as.
     *
     * @param declaredTokens prompt tokens and maximum output tokens of the request; empty if it
     *     declares none
     * @param plainTokens count of a request that declares none
     */
    abstract long cost(OptionalLong declaredTokens, long plainTokens);
}
