package org.cyclamenpaddle.router.booking;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.ClaimAnswer;
import org.cyclamenpaddle.core.message.ClaimAsk;

/** Asks the host that holds a claim. */
@FunctionalInterface
public interface ClaimerLink {

    /** Completes with its answer; empty if that very incarnation is dead or does not answer. */
    CompletableFuture<Optional<ClaimAnswer>> ask(Incarnation holder, ClaimAsk ask);
}
