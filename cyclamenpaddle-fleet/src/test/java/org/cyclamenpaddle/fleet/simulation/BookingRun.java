package org.cyclamenpaddle.fleet.simulation;

import static org.cyclamenpaddle.core.invariant.Invariants.require;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.ClaimResponse.StoredResponse;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RunOutcome;
import org.cyclamenpaddle.fleet.claim.BookingEvent;
import org.cyclamenpaddle.fleet.claim.BookingReply;
import org.cyclamenpaddle.fleet.claim.ClaimKey;
import org.cyclamenpaddle.fleet.claim.ClaimRecord;
import org.cyclamenpaddle.fleet.claim.ClaimShardSettings;
import org.cyclamenpaddle.fleet.claim.ClaimState;

/**
 * Bookings whose callers send again through other hosts, while hosts die and pause and the platform
 * is away, slow, and loses answers before or after a write takes effect.
 *
 * <p>Invariants: a key runs at most once; when a booking is refused as not run, no byte of it has
 * left, and none of that attempt ever does; an answer is that of the call under the key.
 */
final class BookingRun {

    private static final String REQUEST = "cafe";
    private static final String OTHER_REQUEST = "beef";

    final EventQueue mQueue = new EventQueue();
    final UniformRandomProvider mRandom;
    final List<BookingHost> mHosts = new ArrayList<>();
    final FakePlatform<String> mPlatform;
    final ClaimShardSettings mShards;
    final Map<RunOutcome, Integer> mReplies = new EnumMap<>(RunOutcome.class);
    final Map<RefusalReason, Integer> mRefusals = new EnumMap<>(RefusalReason.class);
    int mRan;
    private final Map<ClaimKey, List<String>> mSent = new HashMap<>();
    private final Map<ClaimKey, Set<String>> mUsed = new HashMap<>();
    private final Map<ClaimKey, Integer> mRuns = new HashMap<>();
    private final Set<AttemptId> mRefused = new HashSet<>();
    private long mLives = 1;
    private boolean mFaults = true;

    BookingRun(int hosts, int shards, long seed) {
        mShards = new ClaimShardSettings(shards, TimeUnit.HOURS.toMillis(24), 900_000, 200, 1_000);
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPlatform = new FakePlatform<>(mQueue, mRandom);
        for (int i = 0; i < hosts; i++) {
            mHosts.add(new BookingHost(this, i, mLives));
        }
        mQueue.after(3_000, this::fault);
    }

    /** Sends bookings at a steady rate, then lets everything end without faults. */
    void bookings(int keys) {
        for (int i = 0; i < keys; i++) {
            ClaimKey key = new ClaimKey(new ServiceName("spot-book"), "key-" + i);
            send(key, 6);
            mQueue.runFor(5 + mRandom.nextInt(20));
        }
        mFaults = false;
        mPlatform.mAway = false;
        mPlatform.mLoss = 0;
        mQueue.runFor(60_000);
        requireSettled();
    }

    /** Requires that no key is left claimed by a host that lives and has ended the call. */
    private void requireSettled() {
        mPlatform.objects().stream()
                .flatMap(
                        o ->
                                BookingHost.CODEC
                                        .decode(o.value().get())
                                        .get()
                                        .claims()
                                        .values()
                                        .stream())
                .filter(claim -> claim.state() == ClaimState.CLAIMED)
                .filter(
                        c ->
                                mHosts.stream()
                                        .anyMatch(h -> c.attempt().holder().get().equals(h.mLife)))
                .forEach(claim -> require(false, () -> claim + " was never settled"));
    }

    /** Sends bookings without faults and returns the platform's calls for each. */
    double callsPerBooking(int keys, int perSecond) {
        mFaults = false;
        long before = mPlatform.mCalls;
        for (int i = 0; i < keys; i++) {
            ClaimKey key = new ClaimKey(new ServiceName("spot-book"), perSecond + "-" + i);
            mQueue.after(i * 1_000L / perSecond, () -> send(key, 1));
        }
        mQueue.runFor(keys * 1_000L / perSecond + 10_000);
        return (double) (mPlatform.mCalls - before) / keys;
    }

    /** Has a call written to a backend server. */
    void send(ClaimRecord claim, Consumer<BookingEvent> report) {
        require(!mRefused.contains(claim.attempt()), () -> claim + " sent after not run");
        mSent.computeIfAbsent(claim.key(), key -> new ArrayList<>()).add(claim.fingerprint());
        int fate = mRandom.nextInt(100);
        boolean arrives = fate >= 3;
        boolean answered = fate >= 8;
        if (arrives) {
            mQueue.after(1 + mRandom.nextInt(40), () -> run(claim));
        }
        BookingEvent end =
                answered
                        ? new BookingEvent.ResponseComplete(answer(claim.key()))
                        : new BookingEvent.FailedAfterFirstByte();
        mQueue.after(41 + mRandom.nextInt(fate == 99 ? 3_000 : 20), () -> report.accept(end));
    }

    private void run(ClaimRecord claim) {
        mRan++;
        int runs = mRuns.merge(claim.key(), 1, Integer::sum);
        require(runs == 1, () -> claim.key() + " ran " + runs + " times");
    }

    private static StoredResponse answer(ClaimKey key) {
        return new StoredResponse(200, "text/plain", "booked " + key.key());
    }

    private void send(ClaimKey key, int sends) {
        BookingHost host = mHosts.get(mRandom.nextInt(mHosts.size()));
        boolean[] replied = {false};
        String fingerprint = mRandom.nextInt(50) == 0 ? OTHER_REQUEST : REQUEST;
        mUsed.computeIfAbsent(key, k -> new HashSet<>()).add(fingerprint);
        host.handle(
                () ->
                        host.book(
                                key,
                                fingerprint,
                                (attempt, reply) -> {
                                    replied[0] = true;
                                    if (reply.outcome() == RunOutcome.NOT_RUN) {
                                        mRefused.add(attempt);
                                    }
                                    replied(key, sends, fingerprint, reply);
                                }));
        mQueue.after(
                3_000,
                () -> {
                    if (!replied[0]) {
                        again(key, sends);
                    }
                });
    }

    private void replied(ClaimKey key, int sends, String fingerprint, BookingReply reply) {
        mReplies.merge(reply.outcome(), 1, Integer::sum);
        if (reply instanceof BookingReply.Completed answered) {
            require(
                    answered.response().equals(answer(key))
                            && mSent.get(key).equals(List.of(fingerprint)),
                    () -> key + " was answered " + answered);
            return;
        }
        RefusalReason reason = ((BookingReply.Refused) reply).refusal().reason();
        mRefusals.merge(reason, 1, Integer::sum);
        if (reason == RefusalReason.KEY_REUSED) {
            require(mUsed.get(key).size() > 1, () -> key + " refused as reused");
        } else if (reply.outcome() == RunOutcome.NOT_RUN) {
            require(!mSent.containsKey(key), () -> key + " called not run by " + reason);
        }
        again(key, sends);
    }

    private void again(ClaimKey key, int sends) {
        if (sends > 1) {
            mQueue.after(mRandom.nextInt(1_000), () -> send(key, sends - 1));
        }
    }

    private void fault() {
        if (!mFaults) {
            return;
        }
        mPlatform.mLoss = mRandom.nextInt(3) == 0 ? 0 : 0.15;
        mPlatform.mAway = mRandom.nextInt(4) == 0;
        BookingHost victim = mHosts.get(mRandom.nextInt(mHosts.size()));
        switch (mRandom.nextInt(4)) {
            case 0 -> {
                victim.mUp = false;
                mLives++;
                long life = mLives;
                mQueue.after(
                        mRandom.nextInt(2_000),
                        () ->
                                mHosts.set(
                                        victim.mIndex, new BookingHost(this, victim.mIndex, life)));
            }
            case 1 -> victim.mPausedUntil = mQueue.now() + mRandom.nextInt(8_000);
            default -> {
                // The platform alone fails.
            }
        }
        mQueue.after(2_000 + mRandom.nextInt(8_000), this::fault);
    }
}
