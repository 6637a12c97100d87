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
 * Simulation of bookings whose callers send again through other hosts, while hosts fail and pause
 * and the platform is unavailable, slow, and loses responses before or after a write takes effect.
 *
 * <p>Invariants: a key runs at most once; when a booking is refused as not run, no byte of that
 * attempt has been sent or ever will be; a response belongs to the call with the key.
 */
final class BookingRun {

    private static final String REQUEST = "cafe";
    private static final String OTHER_REQUEST = "beef";

    final EventQueue mQueue = new EventQueue();
    final UniformRandomProvider mRandom;
    final List<BookingHost> mHosts = new ArrayList<>();
    final SimulatedPlatform<String> mPlatform;
    final ClaimShardSettings mShards;
    final Map<RunOutcome, Integer> mReplies = new EnumMap<>(RunOutcome.class);
    final Map<RefusalReason, Integer> mRefusals = new EnumMap<>(RefusalReason.class);
    int mCallsRun;
    private final Map<ClaimKey, List<String>> mSent = new HashMap<>();
    private final Map<ClaimKey, Set<String>> mFingerprints = new HashMap<>();
    private final Map<ClaimKey, Integer> mRuns = new HashMap<>();
    private final Set<AttemptId> mRefused = new HashSet<>();
    private long mIncarnations = 1;
    private boolean mFaults = true;

    BookingRun(int hosts, int shards, long seed) {
        mShards = new ClaimShardSettings(shards, TimeUnit.HOURS.toMillis(24), 900_000, 200, 1_000);
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPlatform = new SimulatedPlatform<>(mQueue, mRandom);
        for (int i = 0; i < hosts; i++) {
            mHosts.add(new BookingHost(this, i, mIncarnations));
        }
        mQueue.after(3_000, this::fault);
    }

    /** Sends bookings at a steady rate, then lets all calls end without faults. */
    void bookings(int keys) {
        for (int i = 0; i < keys; i++) {
            ClaimKey key = new ClaimKey(new ServiceName("spot-book"), "key-" + i);
            send(key, 6);
            mQueue.runFor(5 + mRandom.nextInt(20));
        }
        mFaults = false;
        mPlatform.mUnavailable = false;
        mPlatform.mLossRate = 0;
        mQueue.runFor(60_000);
        requireNoOpenClaim();
    }

    /** Asserts that no key remains claimed by a live host after the end of its call. */
    private void requireNoOpenClaim() {
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
                                        .anyMatch(
                                                h ->
                                                        c.attempt()
                                                                .holder()
                                                                .get()
                                                                .equals(h.mIncarnation)))
                .forEach(claim -> require(false, () -> claim + " was never completed"));
    }

    /** Sends bookings without faults and returns the number of platform calls per booking. */
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

    /** Sends a call to a backend server. */
    void send(ClaimRecord claim, Consumer<BookingEvent> report) {
        require(!mRefused.contains(claim.attempt()), () -> claim + " sent after not run");
        mSent.computeIfAbsent(claim.key(), key -> new ArrayList<>()).add(claim.fingerprint());
        int outcome = mRandom.nextInt(100);
        boolean arrives = outcome >= 3;
        boolean responded = outcome >= 8;
        if (arrives) {
            mQueue.after(1 + mRandom.nextInt(40), () -> run(claim));
        }
        BookingEvent end =
                responded
                        ? new BookingEvent.ResponseComplete(response(claim.key()))
                        : new BookingEvent.FailedAfterFirstByte();
        mQueue.after(41 + mRandom.nextInt(outcome == 99 ? 3_000 : 20), () -> report.accept(end));
    }

    private void run(ClaimRecord claim) {
        mCallsRun++;
        int runs = mRuns.merge(claim.key(), 1, Integer::sum);
        require(runs == 1, () -> claim.key() + " ran " + runs + " times");
    }

    private static StoredResponse response(ClaimKey key) {
        return new StoredResponse(200, "text/plain", "booked " + key.key());
    }

    private void send(ClaimKey key, int sends) {
        BookingHost host = mHosts.get(mRandom.nextInt(mHosts.size()));
        boolean[] replied = {false};
        String fingerprint = mRandom.nextInt(50) == 0 ? OTHER_REQUEST : REQUEST;
        mFingerprints.computeIfAbsent(key, k -> new HashSet<>()).add(fingerprint);
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
                        resend(key, sends);
                    }
                });
    }

    private void replied(ClaimKey key, int sends, String fingerprint, BookingReply reply) {
        mReplies.merge(reply.outcome(), 1, Integer::sum);
        if (reply instanceof BookingReply.Completed completed) {
            require(
                    completed.response().equals(response(key))
                            && mSent.get(key).equals(List.of(fingerprint)),
                    () -> key + " was completed with " + completed);
            return;
        }
        RefusalReason reason = ((BookingReply.Refused) reply).refusal().reason();
        mRefusals.merge(reason, 1, Integer::sum);
        if (reason == RefusalReason.KEY_REUSED) {
            require(mFingerprints.get(key).size() > 1, () -> key + " refused as reused");
        } else if (reply.outcome() == RunOutcome.NOT_RUN) {
            require(!mSent.containsKey(key), () -> key + " reported as not run by " + reason);
        }
        resend(key, sends);
    }

    private void resend(ClaimKey key, int sends) {
        if (sends > 1) {
            mQueue.after(mRandom.nextInt(1_000), () -> send(key, sends - 1));
        }
    }

    private void fault() {
        if (!mFaults) {
            return;
        }
        mPlatform.mLossRate = mRandom.nextInt(3) == 0 ? 0 : 0.15;
        mPlatform.mUnavailable = mRandom.nextInt(4) == 0;
        BookingHost victim = mHosts.get(mRandom.nextInt(mHosts.size()));
        switch (mRandom.nextInt(4)) {
            case 0 -> {
                victim.mUp = false;
                mIncarnations++;
                long incarnation = mIncarnations;
                mQueue.after(
                        mRandom.nextInt(2_000),
                        () ->
                                mHosts.set(
                                        victim.mIndex,
                                        new BookingHost(this, victim.mIndex, incarnation)));
            }
            case 1 -> victim.mPausedUntilMillis = mQueue.now() + mRandom.nextInt(8_000);
            default -> {
                // Only the platform fails.
            }
        }
        mQueue.after(2_000 + mRandom.nextInt(8_000), this::fault);
    }
}
