package org.cyclamenpaddle.relay.role;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * Client for orders to engines; its futures never fail, and errors are returned as one line of
 * text.
 */
public interface EngineOrderClient {

    /**
     * Requests the number of orders that an engine has accepted.
     *
     * @return the number; left if the engine is executing an order or did not respond
     */
    CompletableFuture<Either<String, Long>> acceptedOrders(Backend engine);

    /**
     * Orders a change of stage.
     *
     * @param change engine and new stage
     * @param holder holder of the lease
     * @param fencingToken fencing token of its lease
     * @param accepted exact number of orders that the engine must have accepted before
     * @return the engine's response in one word
     */
    CompletableFuture<String> order(
            StageChange change, String holder, long fencingToken, long accepted);
}
