package org.cyclamenpaddle.router.booking;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.fleet.claim.ClaimCodec;
import org.cyclamenpaddle.fleet.claim.ClaimDocument;
import org.cyclamenpaddle.fleet.claim.ClaimRecord;
import org.cyclamenpaddle.fleet.claim.ClaimResult;
import org.cyclamenpaddle.fleet.claim.ClaimShard;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect;
import org.cyclamenpaddle.fleet.claim.ClaimShardSettings;
import org.cyclamenpaddle.fleet.claim.ClaimState;
import org.cyclamenpaddle.router.configuration.PlatformHealth;
import org.cyclamenpaddle.router.worker.SerialExecutor;
import org.cyclamenpaddle.router.worker.Workers;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.ObjectStore;
import org.cyclamenpaddle.store.objects.StoredObject;
import org.cyclamenpaddle.store.objects.WritePrecondition;
import org.cyclamenpaddle.store.objects.WriteResult;

/** Stores claims in the platform: performs the effects of each {@link ClaimShard}. */
public final class ClaimStore {

    private static final String PREFIX = "claims/";

    private final ObjectStore mStore;
    private final ClaimCodec mCodec;
    private final ClaimShardSettings mSettings;
    private final Workers mWorkers;
    private final Clock mClock;
    private final LongSupplier mEpochMillis;
    private final PlatformHealth mHealth;
    private final Map<Integer, Shard> mShards = new ConcurrentHashMap<>();
    private final Map<AttemptId, Consumer<ClaimResult>> mPendingVerdicts =
            new ConcurrentHashMap<>();

    ClaimStore(
            ObjectStore store,
            ClaimCodec codec,
            ClaimShardSettings settings,
            Workers workers,
            Clock clock,
            LongSupplier epochMillis,
            PlatformHealth health) {
        mStore = store;
        mCodec = codec;
        mSettings = settings;
        mWorkers = workers;
        mClock = clock;
        mEpochMillis = epochMillis;
        mHealth = health;
    }

    /** Writes a claim; the verdict is delivered on a worker thread. */
    void writeClaim(ClaimRecord claim, Consumer<ClaimResult> verdict) {
        mPendingVerdicts.put(claim.attempt(), verdict);
        shard(claim).run(shard -> shard.claim(claim, mEpochMillis.getAsLong()));
    }

    /** Writes an outcome in the background, retrying until it is stored. */
    void writeOutcome(ClaimRecord claim, ClaimState outcome) {
        shard(claim).run(shard -> shard.outcome(claim, outcome));
    }

    /** Retries shards that found the platform unavailable. */
    void tick() {
        mShards.values().forEach(shard -> shard.run(machine -> machine.tick(mClock.millis())));
    }

    /** Returns the number of changes not yet confirmed by the platform. */
    int pending() {
        return mShards.values().stream().mapToInt(Shard::pending).sum();
    }

    private Shard shard(ClaimRecord claim) {
        return mShards.computeIfAbsent(claim.key().shard(mSettings.shards()), Shard::new);
    }

    /** One shard and the serial executor of its events. */
    private final class Shard {

        private final int mNumber;
        private final ClaimShard mMachine;
        private final SerialExecutor mSerial = new SerialExecutor(mWorkers);
        private volatile int mPending;

        Shard(int number) {
            mNumber = number;
            mMachine = new ClaimShard(number, mSettings, mCodec);
        }

        int pending() {
            return mPending;
        }

        void run(Function<ClaimShard, List<ClaimShardEffect>> event) {
            mSerial.execute(
                    () -> {
                        event.apply(mMachine).forEach(this::perform);
                        mPending = mMachine.pending();
                    });
        }

        private void perform(ClaimShardEffect effect) {
            if (effect instanceof ClaimShardEffect.ReadShard) {
                mStore.get(path()).thenAccept(this::read);
            } else if (effect instanceof ClaimShardEffect.WriteShard write) {
                mStore.put(path(), mCodec.encode(write.document()), precondition(write))
                        .thenAccept(this::written);
            } else if (effect instanceof ClaimShardEffect.Settled settled) {
                Optional.ofNullable(mPendingVerdicts.remove(settled.claim().attempt()))
                        .ifPresent(verdict -> verdict.accept(settled.result()));
            }
        }

        private WritePrecondition precondition(ClaimShardEffect.WriteShard write) {
            return write.baseVersion() == 0
                    ? WritePrecondition.absent()
                    : WritePrecondition.atVersion(write.baseVersion());
        }

        private void read(Either<PlatformError, Optional<StoredObject>> response) {
            response.peekLeft(this::onPlatformUnavailable)
                    .peek(
                            found -> {
                                mHealth.recordResponse();
                                run(shard -> shard.onRead(version(found), document(found)));
                            });
        }

        private void written(Either<PlatformError, WriteResult> response) {
            if (response.isLeft()) {
                failed(response.getLeft());
                return;
            }
            mHealth.recordResponse();
            if (response.get() instanceof WriteResult.Written written) {
                run(shard -> shard.onWritten(written.version()));
            } else if (response.get() instanceof WriteResult.Conflict conflict) {
                Optional<StoredObject> current = conflict.current();
                run(shard -> shard.onConflict(version(current), document(current)));
            }
        }

        private void failed(PlatformError error) {
            if (error.mayHaveTakenEffect()) {
                mHealth.recordFailure(error);
                run(ClaimShard::onResponseLost);
            } else {
                onPlatformUnavailable(error);
            }
        }

        private void onPlatformUnavailable(PlatformError error) {
            mHealth.recordFailure(error);
            run(shard -> shard.onPlatformUnavailable(mClock.millis()));
        }

        private long version(Optional<StoredObject> found) {
            return found.map(StoredObject::version).orElse(0L);
        }

        private ClaimDocument document(Optional<StoredObject> found) {
            Either<String, ClaimDocument> document =
                    found.map(object -> mCodec.decode(object.value()))
                            .orElseGet(() -> Either.right(ClaimDocument.EMPTY));
            Invariants.require(
                    document.isRight(), () -> path() + " cannot be decoded: " + document.getLeft());
            return document.get();
        }

        private String path() {
            return PREFIX + mNumber;
        }
    }
}
