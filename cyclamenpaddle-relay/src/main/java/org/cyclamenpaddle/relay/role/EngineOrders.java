package org.cyclamenpaddle.relay.role;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.backend.Backend;

/** Gives orders to engines; futures never fail, and what went wrong is said in a line. */
public interface EngineOrders {

    /**
     * Asks an engine how many orders it has accepted.
     *
     * @return the number; left if it is carrying one out, or did not say
     */
    CompletableFuture<Either<String, Long>> acceptedOrders(Backend engine);

    /**
     * Orders a change of stage.
     *
     * @param change engine and stage
     * @param holder who orders
     * @param fence of its lease
     * @param accepted orders that the engine must have accepted before, no more and no fewer
     * @return the engine's answer in a word
     */
    CompletableFuture<String> order(StageChange change, String holder, long fence, long accepted);
}
