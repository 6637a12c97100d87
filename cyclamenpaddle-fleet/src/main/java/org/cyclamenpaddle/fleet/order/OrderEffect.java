package org.cyclamenpaddle.fleet.order;

import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;

/** What the owner of a backend server has to do on behalf of an {@link OrderController}. */
public sealed interface OrderEffect {

    /** Ask the engine what it is set up for; report by {@code onState} or {@code onFailed}. */
    record ReadState() implements OrderEffect {}

    /**
     * Take the shared slots that a change needs, all or none; report by {@code onSlots}.
     *
     * @param leaves the service that loses the engine meanwhile; see {@link RolloutBudget}
     * @param loadsWeights whether weights have to be loaded; see {@link WeightLoadBudget}
     */
    record AcquireSlots(Optional<ServiceName> leaves, boolean loadsWeights)
            implements OrderEffect {}

    /** Give back whatever shared slots are held for this backend server. */
    record ReleaseSlots() implements OrderEffect {}

    /** Drain the backend server; {@code tick} is told when it is drained. */
    record StartDrain() implements OrderEffect {}

    /** Let the backend server take work again as far as its setup allows. */
    record EndDrain() implements OrderEffect {}

    /** Read the status object; report by {@code onStatus} or {@code onFailed}. */
    record ReadStatus() implements OrderEffect {}

    /**
     * Write the status object if it is still at a version; report by {@code onFenceTaken}, or by
     * {@code onFenceUnsure} on a conflict or a lost answer.
     *
     * @param expectedVersion the version it must be at; 0 if it must not exist
     * @param status its new content
     */
    record TakeFence(long expectedVersion, FenceStatus status) implements OrderEffect {}

    /**
     * Order a setup; ask {@link OrderController#maySend} right before the bytes leave. Report by
     * {@code onOrderEnded}.
     *
     * @param fence the fencing number to carry
     * @param setup the setup to order
     * @param timeoutMillis after which the engine, or the connection, gives the order up
     */
    record SendOrder(long fence, EngineSetup setup, long timeoutMillis) implements OrderEffect {}
}
