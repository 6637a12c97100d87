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

/** Tests that two hosts never order engines within one another's time. */
public class LeaseTest {

    /** Engines count two holders as fighting when they take turns within this time. */
    private static final long APART_MILLIS = 3_000;

    /** A store that takes conditional writes; answers can be lost on the way back. */
    private static final class Store {
        private Optional<StoredLease> mLease = Optional.empty();
        private long mRevision = 10;

        Optional<StoredLease> write(Lease.Claim claim) {
            OptionalLong now =
                    mLease.isPresent()
                            ? OptionalLong.of(mLease.get().revision())
                            : OptionalLong.empty();
            if (!now.equals(claim.revision())) {
                return Optional.empty();
            }
            mRevision++;
            mLease = Optional.of(new StoredLease(claim.record(), mRevision));
            return mLease;
        }
    }

    private static void renew(Lease lease, Store store, long now) {
        lease.due(now)
                .ifPresent(
                        claim ->
                                store.write(claim)
                                        .ifPresentOrElse(
                                                stored -> lease.written(stored, now, now),
                                                lease::notWritten));
    }

    @Test
    public void firstHostTakesTheLeaseAndTheNextOneWaits() {
        Store store = new Store();
        Lease first = new Lease("first");
        Lease second = new Lease("second");
        first.seen(store.mLease, 0);
        second.seen(store.mLease, 0);
        renew(first, store, 0);
        renew(second, store, 1);
        assertTrue(first.fence(10, 10).isPresent());
        assertFalse(second.isHolder());
        second.seen(store.mLease, 100);
        assertTrue(second.due(100 + Lease.TAKEOVER_MILLIS - 1).isEmpty());
        assertTrue(second.due(100 + Lease.TAKEOVER_MILLIS).isPresent());
    }

    @Test
    public void orderNeedsTimeLeftOnTheLease() {
        Store store = new Store();
        Lease lease = new Lease("h");
        lease.seen(Optional.empty(), 0);
        renew(lease, store, 0);
        long last = Lease.HELD_MILLIS - Lease.ORDER_MILLIS;
        assertTrue(lease.fence(last, last).isPresent());
        assertTrue(lease.fence(last + 1, last + 1).isEmpty());
    }

    /**
     * The holder is frozen for ten seconds, in which its steady clock stands still, and wakes just
     * before an order. By its steady clock the lease is fresh; the time of day shows the truth.
     */
    @Test
    public void frozenHolderDoesNotOrderWhenItWakes() {
        Store store = new Store();
        Lease lease = new Lease("h");
        lease.seen(Optional.empty(), 0);
        renew(lease, store, 0);
        assertTrue(lease.fence(20, 10_020).isEmpty());
    }

    /** The answer to a renewal is lost: the host does not know what lies in the store now. */
    @Test
    public void lostAnswerEndsTheRightToOrder() {
        Store store = new Store();
        Lease lease = new Lease("h");
        lease.seen(Optional.empty(), 0);
        renew(lease, store, 0);
        store.write(lease.due(1_000).orElseThrow());
        lease.notWritten();
        assertTrue(lease.fence(1_010, 1_010).isEmpty());
        lease.seen(store.mLease, 2_000);
        assertTrue(lease.due(2_000).isEmpty(), "its own lost write is another holder's to it");
    }

    /**
     * Four hosts with random pauses, lost answers and restarts on one store. Orders of different
     * hosts are always further apart than engines ask for, and fences never go back.
     */
    @Test
    public void randomHostsNeverTakeTurns() {
        for (int seed = 0; seed < 200; seed++) {
            play(new Random(seed), seed);
        }
    }

    private static void play(Random random, int seed) {
        Store store = new Store();
        List<Lease> hosts = new ArrayList<>();
        Map<Lease, Long> frozenUntil = new HashMap<>();
        Map<Lease, Long> frozenFor = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(new Lease("host-" + i));
        }
        Lease lastOrderer = null;
        long lastOrderAt = 0;
        long lastFence = 0;
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
            OptionalLong fence = host.fence(steady, now);
            if (fence.isPresent()) {
                boolean same = host == lastOrderer;
                assertTrue(
                        same || lastOrderer == null || now - lastOrderAt > APART_MILLIS,
                        "seed " + seed + ": orders " + (now - lastOrderAt) + " ms apart");
                assertTrue(same ? fence.getAsLong() >= lastFence : fence.getAsLong() > lastFence);
                lastOrderer = host;
                lastOrderAt = now + Lease.ORDER_MILLIS;
                lastFence = fence.getAsLong();
            }
        }
        assertTrue(lastFence > 0, "nobody ever held the lease");
    }

    private static void step(Lease host, Store store, long steady, long wall, Random random) {
        if (!host.isHolder()) {
            host.seen(store.mLease, steady);
        }
        Optional<Lease.Claim> claim = host.due(steady);
        if (claim.isEmpty()) {
            return;
        }
        Optional<StoredLease> stored = store.write(claim.get());
        if (stored.isPresent() && random.nextInt(10) > 0) {
            host.written(stored.get(), steady, wall);
        } else {
            host.notWritten();
        }
    }

    @Test
    public void fenceRisesWithTheHolder() {
        Store store = new Store();
        Lease first = new Lease("first");
        first.seen(Optional.empty(), 0);
        renew(first, store, 0);
        Lease second = new Lease("second");
        second.seen(store.mLease, 0);
        renew(second, store, Lease.TAKEOVER_MILLIS);
        assertEquals(second.fence(Lease.TAKEOVER_MILLIS, Lease.TAKEOVER_MILLIS).orElse(0), 2);
        first.seen(store.mLease, Lease.TAKEOVER_MILLIS);
        assertFalse(first.isHolder());
    }
}
