package org.cyclamenpaddle.router.booking;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;

/** Queries other hosts for their claims of idempotency keys. */
public interface ClaimHolders {

    /**
     * Claim states of a key on the other hosts.
     *
     * @param states claim state on each host that responded
     * @param complete whether every host of the view responded and none was lost recently
     */
    record PeerStates(List<ClaimResponse.State> states, boolean complete) {

        public PeerStates {
            states = List.copyOf(states);
        }
    }

    /**
     * Completes with the response of a claim holder; empty if that incarnation is dead or does not
     * respond.
     */
    CompletableFuture<Optional<ClaimResponse>> query(Incarnation holder, ClaimRequest query);

    /** Completes with the claim states on all other hosts of the view. */
    CompletableFuture<PeerStates> queryAll(ClaimRequest query);

    /**
     * Returns whether the in-memory state of any host was lost within the last {@code spanMillis}
     * milliseconds.
     */
    boolean hostLostWithin(long spanMillis);
}
