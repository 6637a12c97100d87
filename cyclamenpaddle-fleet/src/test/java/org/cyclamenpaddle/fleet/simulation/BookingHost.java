package org.cyclamenpaddle.fleet.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.fleet.claim.BookingEffect;
import org.cyclamenpaddle.fleet.claim.BookingEvent;
import org.cyclamenpaddle.fleet.claim.BookingMachine;
import org.cyclamenpaddle.fleet.claim.BookingReply;
import org.cyclamenpaddle.fleet.claim.BookingSettings;
import org.cyclamenpaddle.fleet.claim.BookingTable;
import org.cyclamenpaddle.fleet.claim.ClaimCodec;
import org.cyclamenpaddle.fleet.claim.ClaimDocument;
import org.cyclamenpaddle.fleet.claim.ClaimKey;
import org.cyclamenpaddle.fleet.claim.ClaimLines;
import org.cyclamenpaddle.fleet.claim.ClaimRecord;
import org.cyclamenpaddle.fleet.claim.ClaimShard;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect;
import org.cyclamenpaddle.fleet.claim.ClaimState;

/** One life of an entry host that takes bookings, in a {@link BookingRun}. */
final class BookingHost {

    static final long DEADLINE_MILLIS = 1_500;
    static final long RESEND_MILLIS = 25_000;
    private static final long CLAIMER_GRACE_MILLIS = 300;
    static final ClaimCodec CODEC = new ClaimLines();

    final int mIndex;
    final Incarnation mLife;
    boolean mUp = true;
    long mPausedUntil;
    private final BookingRun mRun;
    private final Map<Integer, Incarnation> mKnown = new HashMap<>();
    private final Map<Integer, ClaimShard> mShards = new HashMap<>();
    private final BookingTable mTable = new BookingTable(100_000, RESEND_MILLIS);
    private final Map<AttemptId, BiConsumer<AttemptId, BookingReply>> mCallers = new HashMap<>();
    private long mAttempts;
    private long mLostAt = Long.MIN_VALUE / 2;

    BookingHost(BookingRun run, int index, long life) {
        mRun = run;
        mIndex = index;
        mLife = new Incarnation(new HostId("host-" + index), life);
        run.mHosts.forEach(host -> mKnown.put(host.mIndex, host.mLife));
        run.mQueue.every(100, () -> handle(this::tickShards));
    }

    /** Runs an event of this process, after its pause if there is one. */
    void handle(Runnable event) {
        if (mUp && mPausedUntil > mRun.mQueue.now()) {
            mRun.mQueue.after(mPausedUntil - mRun.mQueue.now(), () -> handle(event));
        } else if (mUp) {
            event.run();
        }
    }

    void book(ClaimKey key, String fingerprint, BiConsumer<AttemptId, BookingReply> caller) {
        mAttempts++;
        AttemptId attempt = AttemptId.of(mLife, mAttempts);
        long now = mRun.mQueue.now();
        ClaimRecord claim = new ClaimRecord(key, fingerprint, attempt, ClaimState.CLAIMED, now);
        BookingMachine call =
                new BookingMachine(claim, BookingSettings.DEFAULTS, now + DEADLINE_MILLIS);
        mTable.add(call, now);
        mCallers.put(attempt, caller);
        apply(call, call.start());
        feedAfter(DEADLINE_MILLIS, call, new BookingEvent.Timeout());
        feedAfter(DEADLINE_MILLIS + 400, call, new BookingEvent.Timeout());
    }

    /** Takes note of which hosts live, as membership would. */
    void observe() {
        for (BookingHost host : mRun.mHosts) {
            if (!host.mLife.equals(mKnown.put(host.mIndex, host.mLife)) || !host.mUp) {
                mLostAt = mRun.mQueue.now();
            }
        }
    }

    private boolean lostLately() {
        observe();
        return mRun.mQueue.now() - mLostAt < RESEND_MILLIS;
    }

    private boolean answers() {
        return mUp && mPausedUntil <= mRun.mQueue.now();
    }

    private ClaimResponse answer(ClaimKey key, Optional<AttemptId> asking) {
        return mTable.claimResponse(key, asking, lostLately(), mRun.mQueue.now());
    }

    private void feed(BookingMachine call, BookingEvent event) {
        handle(() -> apply(call, call.on(event, mRun.mQueue.now())));
    }

    private void feedAfter(long millis, BookingMachine call, BookingEvent event) {
        mRun.mQueue.after(millis, () -> feed(call, event));
    }

    private void apply(BookingMachine call, List<BookingEffect> effects) {
        for (BookingEffect effect : effects) {
            if (effect instanceof BookingEffect.WriteClaim write) {
                shard(write.claim().key(), s -> s.claim(write.claim(), mRun.mQueue.now()));
            } else if (effect instanceof BookingEffect.RecordOutcome record) {
                shard(record.claim().key(), s -> s.outcome(record.claim(), record.outcome()));
            } else if (effect instanceof BookingEffect.Dispatch dispatch) {
                dispatch(call);
            } else if (effect instanceof BookingEffect.SendCall) {
                // A pause between the decision and its effect must not matter either.
                handle(() -> mRun.send(call.claim(), event -> feed(call, event)));
            } else if (effect instanceof BookingEffect.Abort) {
                feedAfter(1, call, new BookingEvent.ConnectFailedBeforeFirstByte());
            } else if (effect instanceof BookingEffect.QueryClaimHolder ask) {
                askClaimer(call, ask.holder());
            } else if (effect instanceof BookingEffect.QueryPeers) {
                askPeers(call);
            } else if (effect instanceof BookingEffect.WakeAt wake) {
                feedAfter(wake.millis() - mRun.mQueue.now(), call, new BookingEvent.Wake());
            } else if (effect instanceof BookingEffect.Reply reply) {
                AttemptId attempt = call.claim().attempt();
                mCallers.remove(attempt).accept(attempt, reply.reply());
            }
        }
    }

    private void dispatch(BookingMachine call) {
        boolean connects = mRun.mRandom.nextInt(100) >= 40;
        feedAfter(
                2,
                call,
                connects
                        ? new BookingEvent.Connected()
                        : new BookingEvent.ConnectFailedBeforeFirstByte());
    }

    private void askClaimer(BookingMachine call, Incarnation holder) {
        Optional<BookingHost> host =
                mRun.mHosts.stream().filter(h -> h.mLife.equals(holder) && h.answers()).findFirst();
        Optional<AttemptId> asking = Optional.of(call.claim().attempt());
        BookingEvent event =
                host.<BookingEvent>map(
                                h ->
                                        new BookingEvent.ClaimHolderResponded(
                                                h.answer(call.claim().key(), asking)))
                        .orElseGet(BookingEvent.ClaimHolderUnreachable::new);
        feedAfter(host.isPresent() ? 3 : CLAIMER_GRACE_MILLIS, call, event);
    }

    private void askPeers(BookingMachine call) {
        List<ClaimResponse.State> states = new ArrayList<>();
        Optional<AttemptId> asking = Optional.of(call.claim().attempt());
        boolean complete = !lostLately();
        for (BookingHost host : mRun.mHosts) {
            if (host.answers()) {
                states.add(host.answer(call.claim().key(), asking).state());
            } else {
                complete = false;
            }
        }
        feedAfter(3, call, new BookingEvent.PeersResponded(states, complete));
    }

    private void tickShards() {
        observe();
        List.copyOf(mShards.keySet())
                .forEach(n -> apply(n, mShards.get(n).tick(mRun.mQueue.now())));
    }

    private void shard(ClaimKey key, Function<ClaimShard, List<ClaimShardEffect>> event) {
        int number = key.shard(mRun.mShards.shards());
        ClaimShard shard =
                mShards.computeIfAbsent(number, n -> new ClaimShard(n, mRun.mShards, CODEC));
        apply(number, event.apply(shard));
    }

    private void apply(int number, List<ClaimShardEffect> effects) {
        ClaimShard shard = mShards.get(number);
        String path = "claims/" + number;
        for (ClaimShardEffect effect : effects) {
            if (effect instanceof ClaimShardEffect.ReadShard) {
                mRun.mPlatform.read(
                        path, answer -> handle(() -> apply(number, onRead(shard, answer))));
            } else if (effect instanceof ClaimShardEffect.WriteShard write) {
                mRun.mPlatform.put(
                        path,
                        write.baseVersion(),
                        CODEC.encode(write.document()),
                        answer -> handle(() -> apply(number, onWrite(shard, answer))));
            } else if (effect instanceof ClaimShardEffect.Settled settled) {
                mTable.call(settled.claim().attempt())
                        .ifPresent(call -> feed(call, settled.result().event()));
            }
        }
    }

    private List<ClaimShardEffect> onRead(ClaimShard shard, FakePlatform.Answer<String> answer) {
        return answer.result() == FakePlatform.Result.DONE
                ? shard.onRead(answer.stored().version(), document(answer))
                : shard.onPlatformUnavailable(mRun.mQueue.now());
    }

    private List<ClaimShardEffect> onWrite(ClaimShard shard, FakePlatform.Answer<String> answer) {
        return switch (answer.result()) {
            case DONE -> shard.onWritten(answer.stored().version());
            case CONFLICT -> shard.onConflict(answer.stored().version(), document(answer));
            case LOST -> shard.onResponseLost();
            case AWAY -> shard.onPlatformUnavailable(mRun.mQueue.now());
        };
    }

    private static ClaimDocument document(FakePlatform.Answer<String> answer) {
        return answer.stored()
                .value()
                .map(text -> CODEC.decode(text).get())
                .orElse(ClaimDocument.EMPTY);
    }
}
