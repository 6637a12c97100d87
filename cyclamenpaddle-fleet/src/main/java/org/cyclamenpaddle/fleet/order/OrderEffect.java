package org.cyclamenpaddle.fleet.order;

import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;

/** Actions that the owner of a backend server performs on behalf of an {@link OrderController}. */
public sealed interface OrderEffect {

    /** Read the state of the engine; report by {@code onState} or {@code onFailed}. */
    record ReadState() implements OrderEffect {}

    /**
     * Acquire the shared slots that a change needs, all or none; report by {@code onSlots}.
     *
     * @param leaves the service that the engine leaves during the change; see {@link RolloutBudget}
     * @param loadsWeights whether weights must be loaded; see {@link WeightLoadBudget}
     */
    record AcquireSlots(Optional<ServiceName> leaves, boolean loadsWeights)
            implements OrderEffect {}

    /** Release all shared slots held for this backend server. */
    record ReleaseSlots() implements OrderEffect {}

    /**
     * Drain the backend server; the {@code drained} argument of {@code tick} reports completion.
     */
    record StartDrain() implements OrderEffect {}

    /** Let the backend server accept work again, as far as its setup allows. */
    record EndDrain() implements OrderEffect {}

    /** Read the status object; report by {@code onStatus} or {@code onFailed}. */
    record ReadStatus() implements OrderEffect {}

    /**
     * Write the status object if it still has the expected version; report by {@code
     * onFenceAcquired}, or by {@code onFenceUpdateUncertain} on a conflict or a lost response.
     *
     * @param expectedVersion the expected version; 0 if the object must not exist
     * @param status its new content
     */
    record AcquireFence(long expectedVersion, FenceStatus status) implements OrderEffect {}

    /**
     * Send an order for a setup; check {@link OrderController#maySend} immediately before the first
     * byte is written. Report by {@code onOrderEnded}.
     *
     * @param fence fencing token of the order
     * @param setup the setup to order
     * @param timeoutMillis timeout after which the engine, or the connection, abandons the order
     */
    record SendOrder(long fence, EngineSetup setup, long timeoutMillis) implements OrderEffect {}
}
