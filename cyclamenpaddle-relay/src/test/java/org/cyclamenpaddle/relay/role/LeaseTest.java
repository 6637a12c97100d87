package org.cyclamenpaddle.relay.role;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that two hosts never issue orders within the conflict interval of the engines. */
public class LeaseTest {

    /** Failure: a lease that another writer has spoilt is never taken over. */
    @Test
    public void unreadableLeaseIsTakenOverWithAHigherToken() {
        Lease lease = new Lease("h");
        lease.observe(Optional.of(StoredLease.unreadable(40)), 0);
        assertTrue(lease.nextWrite(Lease.TAKEOVER_MILLIS - 1).isEmpty());
        Lease.LeaseWrite write = lease.nextWrite(Lease.TAKEOVER_MILLIS).orElseThrow();
        assertEquals(write.revision(), OptionalLong.of(40));
        assertEquals(write.record().fence(), 41);
    }

    /** Engines treat two holders as conflicting if their orders alternate within this time. */
    private static final long MIN_ORDER_GAP_MILLIS = 3_000;

    /** Store with conditional writes; its responses can be lost. */
    private static final class Store {
        private Optional<StoredLease> mLease = Optional.empty();
        private long mRevision = 10;

        Optional<StoredLease> write(Lease.LeaseWrite write) {
            OptionalLong now =
                    mLease.isPresent()
                            ? OptionalLong.of(mLease.get().revision())
                            : OptionalLong.empty();
            if (!now.equals(write.revision())) {
                return Optional.empty();
            }
            mRevision++;
            mLease = Optional.of(new StoredLease(write.record(), mRevision));
            return mLease;
        }
    }

    private static void renew(Lease lease, Store store, long now) {
        lease.nextWrite(now)
                .ifPresent(
                        write ->
                                store.write(write)
                                        .ifPresentOrElse(
                                                stored -> lease.confirmWrite(stored, now, now),
                                                lease::failWrite));
    }

    @Test
    public void firstHostTakesTheLeaseAndTheNextOneWaits() {
        Store store = new Store();
        Lease first = new Lease("first");
        Lease second = new Lease("second");
        first.observe(store.mLease, 0);
        second.observe(store.mLease, 0);
        renew(first, store, 0);
        renew(second, store, 1);
        assertTrue(first.fencingToken(10, 10).isPresent());
        assertFalse(second.isHolder());
        second.observe(store.mLease, 100);
        assertTrue(second.nextWrite(100 + Lease.TAKEOVER_MILLIS - 1).isEmpty());
        assertTrue(second.nextWrite(100 + Lease.TAKEOVER_MILLIS).isPresent());
    }

    @Test
    public void orderNeedsTimeLeftOnTheLease() {
        Store store = new Store();
        Lease lease = new Lease("h");
        lease.observe(Optional.empty(), 0);
        renew(lease, store, 0);
        long last = Lease.LEASE_MILLIS - Lease.ORDER_MARGIN_MILLIS;
        assertTrue(lease.fencingToken(last, last).isPresent());
        assertTrue(lease.fencingToken(last + 1, last + 1).isEmpty());
    }

    /**
     * The holder is suspended for ten seconds, in which its steady clock stops, and resumes just
     * before an order. By its steady clock the lease is valid; the wall clock shows that it has
     * expired.
     */
    @Test
    public void pausedHolderDoesNotOrderAfterResuming() {
        Store store = new Store();
        Lease lease = new Lease("h");
        lease.observe(Optional.empty(), 0);
        renew(lease, store, 0);
        assertTrue(lease.fencingToken(20, 10_020).isEmpty());
    }

    /**
     * The response to a renewal is lost: the host does not know the state of the lease in the
     * store.
     */
    @Test
    public void lostResponseEndsTheRightToOrder() {
        Store store = new Store();
        Lease lease = new Lease("h");
        lease.observe(Optional.empty(), 0);
        renew(lease, store, 0);
        store.write(lease.nextWrite(1_000).orElseThrow());
        lease.failWrite();
        assertTrue(lease.fencingToken(1_010, 1_010).isEmpty());
        lease.observe(store.mLease, 2_000);
        assertTrue(
                lease.nextWrite(2_000).isEmpty(),
                "it treats its own unconfirmed write as another holder's");
    }

    /**
     * Four hosts with random suspensions, lost responses and restarts share one store. Orders of
     * different hosts are always further apart than the engines require, and fencing tokens never
     * decrease.
     */
    @Test
    public void randomHostsNeverAlternateOrders() {
        for (int seed = 0; seed < 200; seed++) {
            simulate(new Random(seed), seed);
        }
    }

    private static void simulate(Random random, int seed) {
        Store store = new Store();
        List<Lease> hosts = new ArrayList<>();
        Map<Lease, Long> frozenUntil = new HashMap<>();
        Map<Lease, Long> frozenFor = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(new Lease("host-" + i));
        }
        Lease lastOrderer = null;
        long lastOrderAt = 0;
        long lastFencingToken = 0;
        for (long now = 0; now < 120_000; now += 100) {
            int at = random.nextInt(4);
            Lease host = hosts.get(at);
            if (random.nextInt(300) == 0) {
                hosts.set(at, new Lease("host-" + at + "-" + now));
                continue;
            }
            if (random.nextInt(200) == 0) {
                long pause = random.nextInt(12_000);
                frozenUntil.put(host, now + pause);
                frozenFor.merge(host, pause, Long::sum);
            }
            if (frozenUntil.getOrDefault(host, 0L) > now) {
                continue;
            }
            long steady = now - frozenFor.getOrDefault(host, 0L);
            step(host, store, steady, now, random);
            OptionalLong fencingToken = host.fencingToken(steady, now);
            if (fencingToken.isPresent()) {
                boolean same = host == lastOrderer;
                assertTrue(
                        same || lastOrderer == null || now - lastOrderAt > MIN_ORDER_GAP_MILLIS,
                        "seed " + seed + ": orders " + (now - lastOrderAt) + " ms apart");
                assertTrue(
                        same
                                ? fencingToken.getAsLong() >= lastFencingToken
                                : fencingToken.getAsLong() > lastFencingToken);
                lastOrderer = host;
                lastOrderAt = now + Lease.ORDER_MARGIN_MILLIS;
                lastFencingToken = fencingToken.getAsLong();
            }
        }
        assertTrue(lastFencingToken > 0, "no host ever held the lease");
    }

    private static void step(Lease host, Store store, long steady, long wall, Random random) {
        if (!host.isHolder()) {
            host.observe(store.mLease, steady);
        }
        Optional<Lease.LeaseWrite> write = host.nextWrite(steady);
        if (write.isEmpty()) {
            return;
        }
        Optional<StoredLease> stored = store.write(write.get());
        if (stored.isPresent() && random.nextInt(10) > 0) {
            host.confirmWrite(stored.get(), steady, wall);
        } else {
            host.failWrite();
        }
    }

    @Test
    public void fencingTokenRisesWithTheHolder() {
        Store store = new Store();
        Lease first = new Lease("first");
        first.observe(Optional.empty(), 0);
        renew(first, store, 0);
        Lease second = new Lease("second");
        second.observe(store.mLease, 0);
        renew(second, store, Lease.TAKEOVER_MILLIS);
        assertEquals(
                second.fencingToken(Lease.TAKEOVER_MILLIS, Lease.TAKEOVER_MILLIS).orElse(0), 2);
        first.observe(store.mLease, Lease.TAKEOVER_MILLIS);
        assertFalse(first.isHolder());
    }
}
