package org.cyclamenpaddle.relay.role;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.cyclamenpaddle.relay.log.DecisionLog;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.cyclamenpaddle.relay.store.StoreFailure;

/**
 * Controller that keeps the lease and, while it holds it, brings engines in line with the plan.
 *
 * <p>Everything runs on one thread; at most one call to the store and one order are under way.
 */
public final class RoleController {

    /** Pause between two looks of the holder, in milliseconds; a third of its lease. */
    static final long HOLDER_MILLIS = 1_000;

    /** Pause between two looks of the others, in milliseconds; a missing holder is no hurry. */
    static final long OTHERS_MILLIS = 5_000;

    /** Spread of the first looks of hosts that start together, in milliseconds. */
    static final long START_SPREAD_MILLIS = 3_000;

    /**
     * How long an ordered change counts as under way, as a multiple of the time that it takes: the
     * engine first ends what it runs, and its entry follows with its next heartbeat.
     */
    private static final int CHANGE_TIMES = 2;

    private record Ordered(BackendStage stage, long untilMillis) {}

    /**
     * What the keeper works with.
     *
     * @param board backend servers
     * @param demand of generations
     * @param plan of stages
     * @param orders to engines
     * @param store of the lease
     * @param log decision lines
     */
    public record Dependencies(
            BackendRegistry board,
            DemandMeter demand,
            RoleAllocation plan,
            EngineOrders orders,
            LeaseStore store,
            DecisionLog log) {}

    /** The services whose engines are kept in line, with the shapes of their engines. */
    public interface EngineServices {
        Map<ServiceName, EngineProfile> current();
    }

    private final String mSelf;
    private final Dependencies mParts;
    private final EngineServices mServices;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final LongSupplier mWallClock;
    private final DoubleSupplier mRandom;
    private final Lease mLease;
    private final StableEngines mEngines = new StableEngines();
    private final Map<BackendId, Ordered> mOrdered = new HashMap<>();

    /**
     * Creates a keeper; {@link #start} begins.
     *
     * @param self names this life of this host
     * @param parts what it works with
     * @param services whose engines it keeps
     * @param executor a single thread
     * @param clock steady clock
     * @param wallClock time of day in milliseconds
     * @param random even draws from 0 to 1
     */
    public RoleController(
            String self,
            Dependencies parts,
            EngineServices services,
            ScheduledExecutorService executor,
            Clock clock,
            LongSupplier wallClock,
            DoubleSupplier random) {
        mRandom = random;
        mSelf = self;
        mParts = parts;
        mServices = services;
        mExecutor = executor;
        mClock = clock;
        mWallClock = wallClock;
        mLease = new Lease(self);
    }

    /**
     * Begins to look after the lease.
     *
     * <p>Hosts that start together would all try to create it; spread, most find it there.
     */
    public void start() {
        later(HOLDER_MILLIS + (long) (mRandom.getAsDouble() * START_SPREAD_MILLIS));
    }

    private void look() {
        if (mServices.current().isEmpty()) {
            later(OTHERS_MILLIS);
        } else if (mLease.isHolder()) {
            claim();
        } else {
            mParts.store().read().thenAcceptAsync(this::read, mExecutor);
        }
    }

    private void read(Either<StoreFailure, Optional<StoredLease>> lease) {
        if (lease.isLeft()) {
            later(OTHERS_MILLIS);
            return;
        }
        mLease.seen(lease.get(), mClock.millis());
        claim();
    }

    private void claim() {
        Optional<Lease.Claim> claim = mLease.due(mClock.millis());
        if (claim.isEmpty()) {
            later(OTHERS_MILLIS);
            return;
        }
        long sent = mClock.millis();
        long sentWall = mWallClock.getAsLong();
        mParts.store()
                .write(claim.get().record(), claim.get().revision())
                .thenAcceptAsync(result -> claimed(result, sent, sentWall), mExecutor);
    }

    private void claimed(
            Either<StoreFailure, Optional<StoredLease>> result, long sent, long sentWall) {
        boolean before = mLease.isHolder();
        if (result.isRight() && result.get().isPresent()) {
            mLease.written(result.get().get(), sent, sentWall);
        } else {
            mLease.notWritten();
        }
        if (before != mLease.isHolder()) {
            String why = result.isLeft() ? result.getLeft().name() : "condition";
            mParts.log().log(RelayEvent.LEASE_CHANGED, mLease.isHolder(), why);
        }
        if (mLease.isHolder()) {
            plan();
        } else {
            later(OTHERS_MILLIS);
        }
    }

    private void plan() {
        mOrdered.values().removeIf(ordered -> ordered.untilMillis() <= mClock.millis());
        Optional<StageChange> change =
                mServices.current().entrySet().stream()
                        .flatMap(entry -> next(entry.getKey(), entry.getValue()).stream())
                        .findFirst();
        if (change.isEmpty()) {
            later(HOLDER_MILLIS);
            return;
        }
        mParts.orders()
                .acceptedOrders(change.get().engine())
                .thenAcceptAsync(accepted -> order(change.get(), accepted), mExecutor);
    }

    private Optional<StageChange> next(ServiceName service, EngineProfile shape) {
        List<Backend> engines =
                mParts.board().usable(service).stream().map(this::withOrderedStage).toList();
        boolean settled = mEngines.settled(service, engines, mClock.millis());
        boolean staged = engines.stream().allMatch(engine -> engine.stage() != BackendStage.WHOLE);
        return settled && staged
                ? mParts.plan().next(engines, load(service, shape))
                : Optional.empty();
    }

    private Optional<EngineLoad> load(ServiceName service, EngineProfile shape) {
        double speed = mParts.board().prefillTokensPerMilli(service);
        return mParts.demand().of(service).map(demand -> EngineLoad.of(demand, shape, speed));
    }

    private Backend withOrderedStage(Backend engine) {
        return Optional.ofNullable(mOrdered.get(engine.id()))
                .map(ordered -> engine.withStage(ordered.stage()))
                .orElse(engine);
    }

    private void order(StageChange change, Either<String, Long> accepted) {
        OptionalLong fence = mLease.fence(mClock.millis(), mWallClock.getAsLong());
        if (accepted.isLeft() || fence.isEmpty()) {
            String why = accepted.isLeft() ? accepted.getLeft() : "lease not certain";
            mParts.log().log(
                    RelayEvent.ORDER_ENDED,
                    change.engine().id(),
                    change.stage(),
                    fence.orElse(0),
                    why);
            later(HOLDER_MILLIS);
            return;
        }
        mOrdered.put(
                change.engine().id(),
                new Ordered(change.stage(), mClock.millis() + changeMillis(change.engine())));
        mParts.orders()
                .order(change, mSelf, fence.getAsLong(), accepted.get())
                .thenAcceptAsync(
                        answer -> {
                            mParts.log().log(
                                    RelayEvent.ORDER_ENDED,
                                    change.engine().id(),
                                    change.stage(),
                                    fence.getAsLong(),
                                    answer);
                            later(HOLDER_MILLIS);
                        },
                        mExecutor);
    }

    private long changeMillis(Backend engine) {
        return Optional.ofNullable(mServices.current().get(engine.service()))
                .map(shape -> CHANGE_TIMES * shape.stageSwitchMillis())
                .orElse(0L);
    }

    private void later(long millis) {
        mExecutor.schedule(this::look, millis, TimeUnit.MILLISECONDS);
    }
}
