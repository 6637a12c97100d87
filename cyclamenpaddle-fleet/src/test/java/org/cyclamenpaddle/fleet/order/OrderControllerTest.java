package org.cyclamenpaddle.fleet.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.fleet.membership.IncarnationStatus;
import org.testng.annotations.Test;

public class OrderControllerTest {

    private static final Incarnation SELF = new Incarnation(new HostId("host-a"), 1);
    private static final Incarnation OTHER = new Incarnation(new HostId("host-b"), 1);
    private static final ServiceName SERVICE = new ServiceName("malt-reader");
    private static final EngineSetup DESIRED =
            new EngineSetup(SERVICE, "malt-1", BackendRole.DECODE);
    private static final EngineSetup FORMER =
            new EngineSetup(SERVICE, "malt-1", BackendRole.PREFILL);
    private static final OrderSettings SETTINGS = new OrderSettings(500, 400, 200);

    @Test
    public void drainsBeforeSendingAnOrder() {
        OrderController controller = controller(FencingSupport.HONOURS);
        controller.tick(Optional.of(DESIRED), false, 0);

        assertEquals(
                controller.onState(new EngineReport(Optional.of(FORMER), 7), 0),
                List.of(new OrderEffect.AcquireSlots(Optional.of(SERVICE), false)));
        assertEquals(controller.onSlots(true, 0), List.of(new OrderEffect.StartDrain()));
        assertTrue(controller.tick(Optional.of(DESIRED), false, 10).isEmpty());
        assertEquals(
                controller.tick(Optional.of(DESIRED), true, 20),
                List.of(new OrderEffect.ReadStatus()));
        assertEquals(
                controller.onStatus(0, Optional.empty(), 20),
                List.of(new OrderEffect.AcquireFence(0, new FenceStatus(8, SELF, true))));
    }

    @Test
    public void pausedHolderDoesNotSendAfterItsLease() {
        // The engine ignores fencing tokens, and the holder is paused between deciding to send an
        // order and sending it. Its successor has by then waited and changed the engine's setup.
        // A late order would revert the engine to a preset that is no longer in force.
        OrderController controller = ordering(100);

        assertTrue(controller.maySend(1, 499));
        assertFalse(controller.maySend(1, 500));
    }

    @Test
    public void leaseStartsBeforeTheFenceIsTaken() {
        // The response to the conditional update is delayed, or the holder is paused before it
        // reads it. The successor's wait may have begun right after the update. A lease counted
        // from the response would outlast that wait.
        OrderController controller = ready();
        controller.onStatus(0, Optional.empty(), 0);

        assertEquals(controller.onFenceAcquired(600), List.of(new OrderEffect.ReadStatus()));
    }

    @Test
    public void successorWaitsForPredecessorAlsoAfterRegainingOwnership() {
        // The successor acquires the token and begins to wait, then loses the ownership of the
        // engine and regains it. The status already names the successor, but an order of its
        // predecessor may still arrive.
        OrderController controller = ready();
        FenceStatus predecessor = new FenceStatus(4, OTHER, true);
        FenceStatus taken = new FenceStatus(5, SELF, false);
        assertEquals(
                controller.onStatus(9, Optional.of(predecessor), 0),
                List.of(new OrderEffect.AcquireFence(9, taken)));
        assertTrue(controller.onFenceAcquired(10).isEmpty());
        controller.stop();
        makeReady(controller, 300);

        assertEquals(
                controller.onStatus(10, Optional.of(taken), 300),
                List.of(new OrderEffect.AcquireFence(10, new FenceStatus(6, SELF, false))));
        assertTrue(controller.onFenceAcquired(310).isEmpty());
        assertTrue(controller.tick(Optional.of(DESIRED), true, 1_209).isEmpty());
        assertEquals(
                controller.tick(Optional.of(DESIRED), true, 1_210),
                List.of(new OrderEffect.ReadStatus()));
    }

    @Test
    public void limitCountsAllHostsAndIgnoresEndedIncarnations() {
        // A new preset changes all engines of a service, whose owners are distributed over many
        // hosts. Draining all of them at once would leave the service without capacity.
        BackendId one = new BackendId("engine-1");
        BackendId two = new BackendId("engine-2");
        SharedSlots held = new SharedSlots(Map.of(one, OTHER));

        assertTrue(held.acquire(two, SELF, 1, incarnation -> IncarnationStatus.RUNNING).isEmpty());
        assertEquals(
                held.acquire(two, SELF, 1, incarnation -> IncarnationStatus.ENDED),
                Optional.of(new SharedSlots(Map.of(two, SELF))));
        assertEquals(held.release(one, SELF), held);
        assertEquals(SharedSlots.parse(held.text()).get(), held);
        assertEquals(new RolloutBudget(20).limit(13), 2);
    }

    private static OrderController controller(FencingSupport fencing) {
        return new OrderController(SELF, fencing, SETTINGS);
    }

    private static OrderController ready() {
        OrderController controller = controller(FencingSupport.IGNORES);
        makeReady(controller, 0);
        return controller;
    }

    private static OrderController ordering(long responseMillis) {
        OrderController controller = ready();
        controller.onStatus(0, Optional.empty(), 0);
        assertEquals(
                controller.onFenceAcquired(responseMillis),
                List.of(new OrderEffect.SendOrder(1, DESIRED, 400)));
        return controller;
    }

    private static void makeReady(OrderController controller, long nowMillis) {
        controller.tick(Optional.of(DESIRED), false, nowMillis);
        controller.onState(new EngineReport(Optional.empty(), 0), nowMillis);
        controller.onSlots(true, nowMillis);
        controller.tick(Optional.of(DESIRED), true, nowMillis);
    }
}
