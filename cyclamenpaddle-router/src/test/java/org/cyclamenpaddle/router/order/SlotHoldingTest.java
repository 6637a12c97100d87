package org.cyclamenpaddle.router.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.fleet.membership.IncarnationStatus;
import org.cyclamenpaddle.fleet.order.SharedSlots;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.standins.platform.Outage;
import org.cyclamenpaddle.standins.platform.PlatformStandin;
import org.cyclamenpaddle.store.objects.HttpObjectStore;
import org.cyclamenpaddle.store.objects.StoredObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that slots are acquired all or none, and are released even after a platform outage. */
public class SlotHoldingTest {

    private static final String FIRST = "status/rollout/malt-reader";
    private static final String SECOND = "status/weight-loads";
    private static final BackendId ENGINE = new BackendId("d1");
    private static final BackendId OTHER = new BackendId("d2");
    private static final List<SlotHolding.Slot> BOTH =
            List.of(new SlotHolding.Slot(FIRST, 1), new SlotHolding.Slot(SECOND, 1));

    private PlatformStandin mPlatform;
    private HttpObjectStore mStore;

    @BeforeMethod
    public void start() {
        mPlatform = new PlatformStandin();
        mPlatform.start(0);
        mStore = new HttpObjectStore("127.0.0.1", mPlatform.port(), 500);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mStore.close();
        mPlatform.close();
    }

    // Another host holds the second of two slots. The first is released, so that it does not block
    // a third host; both are acquired once the incarnation of the other host has ended.
    @Test
    public void allOrNoneAndNoneOfDeadHost() {
        assertTrue(slots("h2", IncarnationStatus.RUNNING).acquire(SECOND, OTHER, 1).join());
        SlotHolding holding = new SlotHolding(slots("h1", IncarnationStatus.RUNNING), ENGINE);

        assertFalse(holding.acquire(BOTH).join());
        holding.release();
        Await.until("the first slot is free", () -> holders(FIRST) == 0);
        assertEquals(holders(SECOND), 1);

        SlotHolding later = new SlotHolding(slots("h1", IncarnationStatus.ENDED), ENGINE);
        assertTrue(later.acquire(BOTH).join());
        assertEquals(holders(SECOND), 1);
    }

    // A host loses an engine while the platform is unavailable, so its slot cannot be released
    // immediately. The host keeps retrying: after the outage the slot becomes free.
    @Test
    public void slotIsReleasedAfterOutage() {
        SlotHolding holding = new SlotHolding(slots("h1", IncarnationStatus.RUNNING), ENGINE);
        assertTrue(holding.acquire(BOTH).join());
        mPlatform.outage(Outage.REFUSE);
        holding.abandon();
        assertFalse(slots("h1", IncarnationStatus.RUNNING).release(FIRST, ENGINE).join());

        mPlatform.outage(Outage.NONE);

        Await.until(
                "both slots are free",
                () -> {
                    holding.abandon();
                    return holders(FIRST) + holders(SECOND) == 0;
                });
    }

    private SlotStore slots(String host, IncarnationStatus standingOfOthers) {
        Incarnation self = new Incarnation(new HostId(host), 1);
        return new SlotStore(
                mStore,
                self,
                one -> one.equals(self) ? IncarnationStatus.RUNNING : standingOfOthers);
    }

    private int holders(String path) {
        CompletableFuture<Integer> holders =
                mStore.get(path)
                        .thenApply(Either::get)
                        .thenApply(
                                (Optional<StoredObject> found) ->
                                        found.map(object -> SharedSlots.parse(object.value()).get())
                                                .orElse(SharedSlots.EMPTY)
                                                .holders()
                                                .size());
        return holders.join();
    }
}
