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

/** One incarnation of an entry host that accepts bookings, in a {@link BookingRun}. */
final class BookingHost {

    static final long DEADLINE_MILLIS = 1_500;
    static final long RESEND_MILLIS = 25_000;
    private static final long HOLDER_TIMEOUT_MILLIS = 300;
    static final ClaimCodec CODEC = new ClaimLines();

    final int mIndex;
    final Incarnation mIncarnation;
    boolean mUp = true;
    long mPausedUntilMillis;
    private final BookingRun mRun;
    private final Map<Integer, Incarnation> mKnown = new HashMap<>();
    private final Map<Integer, ClaimShard> mShards = new HashMap<>();
    private final BookingTable mTable = new BookingTable(100_000, RESEND_MILLIS);
    private final Map<AttemptId, BiConsumer<AttemptId, BookingReply>> mCallers = new HashMap<>();
    private long mAttempts;
    private long mHostLostMillis = Long.MIN_VALUE / 2;

    BookingHost(BookingRun run, int index, long incarnation) {
        mRun = run;
        mIndex = index;
        mIncarnation = new Incarnation(new HostId("host-" + index), incarnation);
        run.mHosts.forEach(host -> mKnown.put(host.mIndex, host.mIncarnation));
        run.mQueue.every(100, () -> handle(this::tickShards));
    }

    /** Runs an event of this process, after its current pause if there is one. */
    void handle(Runnable event) {
        if (mUp && mPausedUntilMillis > mRun.mQueue.now()) {
            mRun.mQueue.after(mPausedUntilMillis - mRun.mQueue.now(), () -> handle(event));
        } else if (mUp) {
            event.run();
        }
    }

    void book(ClaimKey key, String fingerprint, BiConsumer<AttemptId, BookingReply> caller) {
        mAttempts++;
        AttemptId attempt = AttemptId.of(mIncarnation, mAttempts);
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

    /** Updates the incarnations of the live hosts, as membership would. */
    void observe() {
        for (BookingHost host : mRun.mHosts) {
            if (!host.mIncarnation.equals(mKnown.put(host.mIndex, host.mIncarnation))
                    || !host.mUp) {
                mHostLostMillis = mRun.mQueue.now();
            }
        }
    }

    private boolean hostLost() {
        observe();
        return mRun.mQueue.now() - mHostLostMillis < RESEND_MILLIS;
    }

    private boolean responds() {
        return mUp && mPausedUntilMillis <= mRun.mQueue.now();
    }

    private ClaimResponse claimResponse(ClaimKey key, Optional<AttemptId> querying) {
        return mTable.claimResponse(key, querying, hostLost(), mRun.mQueue.now());
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
                // A pause may also occur between the decision and its effect.
                handle(() -> mRun.send(call.claim(), event -> feed(call, event)));
            } else if (effect instanceof BookingEffect.Abort) {
                feedAfter(1, call, new BookingEvent.ConnectFailedBeforeFirstByte());
            } else if (effect instanceof BookingEffect.QueryClaimHolder query) {
                queryClaimHolder(call, query.holder());
            } else if (effect instanceof BookingEffect.QueryPeers) {
                queryPeers(call);
            } else if (effect instanceof BookingEffect.ScheduleTimer timer) {
                feedAfter(
                        timer.millis() - mRun.mQueue.now(), call, new BookingEvent.TimerExpired());
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

    private void queryClaimHolder(BookingMachine call, Incarnation holder) {
        Optional<BookingHost> host =
                mRun.mHosts.stream()
                        .filter(h -> h.mIncarnation.equals(holder) && h.responds())
                        .findFirst();
        Optional<AttemptId> querying = Optional.of(call.claim().attempt());
        BookingEvent event =
                host.<BookingEvent>map(
                                h ->
                                        new BookingEvent.ClaimHolderResponded(
                                                h.claimResponse(call.claim().key(), querying)))
                        .orElseGet(BookingEvent.ClaimHolderUnreachable::new);
        feedAfter(host.isPresent() ? 3 : HOLDER_TIMEOUT_MILLIS, call, event);
    }

    private void queryPeers(BookingMachine call) {
        List<ClaimResponse.State> states = new ArrayList<>();
        Optional<AttemptId> querying = Optional.of(call.claim().attempt());
        boolean complete = !hostLost();
        for (BookingHost host : mRun.mHosts) {
            if (host.responds()) {
                states.add(host.claimResponse(call.claim().key(), querying).state());
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
                        path, response -> handle(() -> apply(number, onRead(shard, response))));
            } else if (effect instanceof ClaimShardEffect.WriteShard write) {
                mRun.mPlatform.put(
                        path,
                        write.baseVersion(),
                        CODEC.encode(write.document()),
                        response -> handle(() -> apply(number, onWrite(shard, response))));
            } else if (effect instanceof ClaimShardEffect.Settled settled) {
                mTable.call(settled.claim().attempt())
                        .ifPresent(call -> feed(call, settled.result().event()));
            }
        }
    }

    private List<ClaimShardEffect> onRead(
            ClaimShard shard, SimulatedPlatform.StoreResponse<String> response) {
        return response.result() == SimulatedPlatform.Result.DONE
                ? shard.onRead(response.stored().version(), document(response))
                : shard.onPlatformUnavailable(mRun.mQueue.now());
    }

    private List<ClaimShardEffect> onWrite(
            ClaimShard shard, SimulatedPlatform.StoreResponse<String> response) {
        return switch (response.result()) {
            case DONE -> shard.onWritten(response.stored().version());
            case CONFLICT -> shard.onConflict(response.stored().version(), document(response));
            case LOST -> shard.onResponseLost();
            case UNAVAILABLE -> shard.onPlatformUnavailable(mRun.mQueue.now());
        };
    }

    private static ClaimDocument document(SimulatedPlatform.StoreResponse<String> response) {
        return response.stored()
                .value()
                .map(text -> CODEC.decode(text).get())
                .orElse(ClaimDocument.EMPTY);
    }
}
