package org.cyclamenpaddle.router.booking;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;

/** Asks other hosts about keys. */
public interface ClaimHolders {

    /**
     * What all other hosts know of a key.
     *
     * @param states what each one that answered knows
     * @param complete whether every host of the view answered and none was lost lately
     */
    record PeerStates(List<ClaimResponse.State> states, boolean complete) {

        public PeerStates {
            states = List.copyOf(states);
        }
    }

    /** Completes with a holder's answer; empty if that incarnation is dead or does not answer. */
    CompletableFuture<Optional<ClaimResponse>> query(Incarnation holder, ClaimRequest ask);

    /** Completes with what every other host of the view knows. */
    CompletableFuture<PeerStates> queryAll(ClaimRequest ask);

    /** Returns whether some host's memory was lost within the span that ends now. */
    boolean hostLostWithin(long spanMillis);
}
