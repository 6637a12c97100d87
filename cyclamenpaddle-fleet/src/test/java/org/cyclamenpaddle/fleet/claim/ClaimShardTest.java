package org.cyclamenpaddle.fleet.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect.ReadShard;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect.Settled;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect.WriteShard;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ClaimShardTest {

    private static final ClaimShardSettings SETTINGS =
            new ClaimShardSettings(1, TimeUnit.HOURS.toMillis(24), 300, 500, 1_000);
    private static final ClaimRecord FIRST = claim("host-a", 1, "key 1", 0);
    private static final ClaimRecord SECOND = claim("host-a", 2, "key 2", 0);
    private static final ClaimRecord RIVAL = claim("host-b", 1, "key 1", 0);

    private ClaimShard mShard;

    @BeforeMethod
    public void readEmptyShard() {
        mShard = new ClaimShard(0, SETTINGS, new ClaimLines());
        mShard.claim(FIRST, 0);
    }

    @Test
    public void claimsThatWaitShareAWrite() {
        mShard.claim(SECOND, 0);

        assertEquals(
                mShard.onRead(0, ClaimDocument.EMPTY),
                List.of(new WriteShard(0, 0, document(FIRST, SECOND))));
        assertEquals(mShard.onWritten(1), List.of(held(FIRST), held(SECOND)));
    }

    @Test
    public void rivalThatWroteFirstKeepsTheKey() {
        // Two hosts claim one key of a resent booking at once. The platform takes one write; the
        // other host must see the rival's claim and not its own.
        mShard.onRead(0, ClaimDocument.EMPTY);

        assertEquals(
                mShard.onConflict(1, document(RIVAL)),
                List.of(new Settled(FIRST, new ClaimResult.HeldByOther(RIVAL))));
    }

    @Test
    public void lostAnswerIsSettledByReadingBack() {
        // The write took effect and its answer was lost. The claim read back names this attempt,
        // so the call may run; claiming anew would find the key taken by itself.
        mShard.onRead(0, ClaimDocument.EMPTY);

        assertEquals(mShard.onResponseLost(), List.of(new ReadShard(0)));
        assertEquals(mShard.onRead(1, document(FIRST)), List.of(held(FIRST)));
    }

    @Test
    public void abandonedClaimThatMayStillArriveIsFreed() {
        // The write's answer is lost and the platform goes away; the caller is refused as not run.
        // When the platform is back the write has not arrived, but still may. Leaving it at that
        // would let it arrive later and hold the key for a day.
        mShard.onRead(0, ClaimDocument.EMPTY);
        mShard.onResponseLost();

        assertEquals(
                mShard.onPlatformUnavailable(0),
                List.of(new Settled(FIRST, new ClaimResult.Unavailable())));
        mShard.tick(500);
        assertEquals(
                mShard.onRead(0, ClaimDocument.EMPTY),
                List.of(new WriteShard(0, 0, document(FIRST.withState(ClaimState.NOT_RUN)))));
        assertEquals(
                mShard.onConflict(1, document(FIRST)),
                List.of(new WriteShard(0, 1, document(FIRST.withState(ClaimState.NOT_RUN)))));
    }

    @Test
    public void outcomeWaitsForTheNextWriteButNotForLong() {
        mShard.onRead(0, ClaimDocument.EMPTY);
        mShard.onWritten(1);
        ClaimRecord ran = FIRST.withState(ClaimState.RAN);

        assertEquals(mShard.outcome(FIRST, ClaimState.RAN), List.of());
        assertEquals(mShard.tick(0), List.of());
        assertEquals(mShard.tick(999), List.of());
        assertEquals(mShard.tick(1_000), List.of(new WriteShard(0, 1, document(ran))));
        mShard.onWritten(2);
        mShard.claim(SECOND, 0);
        mShard.onWritten(3);
        mShard.outcome(SECOND, ClaimState.RAN);

        assertEquals(
                mShard.claim(claim("host-a", 3, "key 3", 0), 0),
                List.of(
                        new WriteShard(
                                0,
                                3,
                                document(
                                        ran,
                                        SECOND.withState(ClaimState.RAN),
                                        claim("host-a", 3, "key 3", 0)))));
    }

    @Test
    public void refusesAtOnceWhileThePlatformIsAway() {
        mShard.onPlatformUnavailable(0);

        assertEquals(
                mShard.claim(SECOND, 0),
                List.of(new Settled(SECOND, new ClaimResult.Unavailable())));
        assertEquals(mShard.pending(), 0);
    }

    @Test
    public void onlyNotRunFreesTheKey() {
        for (ClaimState state : ClaimState.values()) {
            readEmptyShard();
            List<ClaimShardEffect> effects = mShard.onRead(1, document(RIVAL.withState(state)));

            assertEquals(effects.get(0) instanceof WriteShard, state == ClaimState.NOT_RUN);
        }
    }

    @Test
    public void fullShardRefusesAndOldClaimsMakeRoom() {
        ClaimRecord big = claim("host-b", 3, "k".repeat(100), 0);
        ClaimRecord next = claim("host-b", 4, "n".repeat(100), 0);

        assertEquals(
                mShard.onRead(1, document(big, next)),
                List.of(new Settled(FIRST, new ClaimResult.Unavailable())));

        long later = TimeUnit.HOURS.toMillis(26);
        ClaimRecord late = claim("host-a", 5, "key 5", later);
        mShard.claim(late, later);

        assertEquals(
                mShard.onRead(1, document(big, next)),
                List.of(new WriteShard(0, 1, document(late))));
    }

    @Test
    public void linesKeepEveryField() {
        ClaimLines codec = new ClaimLines();
        ClaimDocument document = document(FIRST.withState(ClaimState.NOT_RUN), SECOND);

        assertEquals(codec.decode(codec.encode(document)).get(), document);
        assertTrue(codec.decode("claims 1\nspot-book\tkey").isLeft());
        assertTrue(codec.decode("claims 2\n").isLeft());
    }

    private static Settled held(ClaimRecord claim) {
        return new Settled(claim, new ClaimResult.Acquired());
    }

    private static ClaimDocument document(ClaimRecord... claims) {
        Map<ClaimKey, ClaimRecord> byKey = new LinkedHashMap<>();
        List.of(claims).forEach(claim -> byKey.put(claim.key(), claim));
        return new ClaimDocument(byKey);
    }

    private static ClaimRecord claim(String host, long sequence, String key, long time) {
        return new ClaimRecord(
                new ClaimKey(new ServiceName("spot-book"), key),
                "cafe",
                AttemptId.of(new Incarnation(new HostId(host), 1), sequence),
                ClaimState.CLAIMED,
                time);
    }
}
