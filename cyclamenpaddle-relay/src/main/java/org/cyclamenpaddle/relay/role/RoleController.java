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
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.cyclamenpaddle.relay.store.StoreFailure;

/**
 * Controller that maintains the lease and, while it holds the lease, reconciles the stages of the
 * engines with the target allocation.
 *
 * <p>Everything runs on one thread; at most one store call and one order are in progress.
 */
public final class RoleController {

    /**
     * Interval between two rounds of the lease holder, in milliseconds; a third of the lease
     * duration.
     */
    static final long HOLDER_INTERVAL_MILLIS = 1_000;

    /**
     * Interval between two rounds of the other hosts, in milliseconds; long because a missing
     * holder is not urgent.
     */
    static final long STANDBY_INTERVAL_MILLIS = 5_000;

    /** Jitter of the first round of hosts that start together, in milliseconds. */
    static final long START_JITTER_MILLIS = 3_000;

    /**
     * Time for which an ordered change counts as pending, as a multiple of its expected duration:
     * the engine first completes what it runs, and its entry follows with its next heartbeat.
     */
    private static final int CHANGE_TIMEOUT_FACTOR = 2;

    /** Calls for one order: the number of accepted orders, and the order itself. */
    private static final int CALLS_PER_ORDER = 2;

    private record PendingChange(BackendStage stage, long untilMillis) {}

    /**
     * Collaborators of the controller.
     *
     * @param registry registry of the backend servers
     * @param demand demand of the generations
     * @param plan allocation of stages
     * @param orders client for orders to engines
     * @param store store of the lease
     * @param log event log
     */
    public record Dependencies(
            BackendRegistry registry,
            DemandMeter demand,
            RoleAllocation allocation,
            EngineOrderClient orders,
            LeaseStore store,
            RelayEventLog log) {}

    /** Supplies the services whose engines are managed, with the profiles of their engines. */
    public interface EngineServices {
        Map<ServiceName, EngineProfile> current();
    }

    private final String mSelf;
    private final Dependencies mDependencies;
    private final EngineServices mServices;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final LongSupplier mWallClock;
    private final DoubleSupplier mRandom;
    private final Lease mLease;
    private final StableEngines mEngines = new StableEngines();
    private final Map<BackendId, PendingChange> mPendingChanges = new HashMap<>();

    /**
     * Creates a controller; {@link #start} starts it.
     *
     * @param self identifies this incarnation of this host
     * @param dependencies collaborators of the controller
     * @param services services whose engines it manages
     * @param executor a single thread
     * @param clock steady clock
     * @param wallClock wall clock in milliseconds
     * @param random uniformly distributed values from 0 to 1
     */
    public RoleController(
            String self,
            Dependencies dependencies,
            EngineServices services,
            ScheduledExecutorService executor,
            Clock clock,
            LongSupplier wallClock,
            DoubleSupplier random) {
        mRandom = random;
        mSelf = self;
        mDependencies = dependencies;
        mServices = services;
        mExecutor = executor;
        mClock = clock;
        mWallClock = wallClock;
        mLease = new Lease(self);
    }

    /**
     * Starts the controller.
     *
     * <p>Hosts that start together would all try to create the lease; with jitter, most of them
     * find it already there.
     */
    public void start() {
        scheduleNext(HOLDER_INTERVAL_MILLIS + (long) (mRandom.getAsDouble() * START_JITTER_MILLIS));
    }

    private void poll() {
        if (mServices.current().isEmpty()) {
            scheduleNext(STANDBY_INTERVAL_MILLIS);
        } else if (mLease.isHolder()) {
            acquireOrRenew();
        } else {
            mDependencies.store().read().thenAcceptAsync(this::handleLease, mExecutor);
        }
    }

    private void handleLease(Either<StoreFailure, Optional<StoredLease>> lease) {
        if (lease.isLeft()) {
            scheduleNext(STANDBY_INTERVAL_MILLIS);
            return;
        }
        mLease.observe(lease.get(), mClock.millis());
        acquireOrRenew();
    }

    private void acquireOrRenew() {
        Optional<Lease.LeaseWrite> write = mLease.nextWrite(mClock.millis());
        if (write.isEmpty()) {
            scheduleNext(STANDBY_INTERVAL_MILLIS);
            return;
        }
        long sentMillis = mClock.millis();
        long sentWallMillis = mWallClock.getAsLong();
        mDependencies
                .store()
                .write(write.get().record(), write.get().revision())
                .thenAcceptAsync(
                        result -> handleWriteResult(result, sentMillis, sentWallMillis), mExecutor);
    }

    private void handleWriteResult(
            Either<StoreFailure, Optional<StoredLease>> result,
            long sentMillis,
            long sentWallMillis) {
        boolean wasHolder = mLease.isHolder();
        if (result.isRight() && result.get().isPresent()) {
            mLease.confirmWrite(result.get().get(), sentMillis, sentWallMillis);
        } else {
            mLease.failWrite();
        }
        if (wasHolder != mLease.isHolder()) {
            String reason = result.isLeft() ? result.getLeft().name() : "condition";
            mDependencies.log().log(RelayEvent.LEASE_CHANGED, mLease.isHolder(), reason);
        }
        if (mLease.isHolder()) {
            reconcile();
        } else {
            scheduleNext(STANDBY_INTERVAL_MILLIS);
        }
    }

    private void reconcile() {
        mPendingChanges.values().removeIf(pending -> pending.untilMillis() <= mClock.millis());
        Optional<StageChange> change =
                mServices.current().entrySet().stream()
                        .flatMap(entry -> nextChange(entry.getKey(), entry.getValue()).stream())
                        .findFirst();
        if (change.isEmpty() || !mayCall(change.get().engine())) {
            scheduleNext(HOLDER_INTERVAL_MILLIS);
            return;
        }
        mDependencies
                .orders()
                .acceptedOrders(change.get().engine())
                .thenAcceptAsync(accepted -> sendOrder(change.get(), accepted), mExecutor);
    }

    private boolean mayCall(Backend engine) {
        return mDependencies
                .registry()
                .directives()
                .tryCall(engine, CALLS_PER_ORDER, mClock.millis());
    }

    private Optional<StageChange> nextChange(ServiceName service, EngineProfile profile) {
        List<Backend> engines =
                mDependencies.registry().usable(service).stream()
                        .map(this::withPendingStage)
                        .toList();
        boolean stable = mEngines.isStable(service, engines, mClock.millis());
        boolean staged = engines.stream().allMatch(engine -> engine.stage() != BackendStage.WHOLE);
        return stable && staged
                ? mDependencies.allocation().nextChange(engines, load(service, profile))
                : Optional.empty();
    }

    private Optional<GenerationCost> load(ServiceName service, EngineProfile profile) {
        double tokensPerMilli = mDependencies.registry().prefillTokensPerMilli(service);
        return mDependencies
                .demand()
                .of(service)
                .map(demand -> GenerationCost.of(demand, profile, tokensPerMilli));
    }

    private Backend withPendingStage(Backend engine) {
        return Optional.ofNullable(mPendingChanges.get(engine.id()))
                .map(pending -> engine.withStage(pending.stage()))
                .orElse(engine);
    }

    private void sendOrder(StageChange change, Either<String, Long> accepted) {
        OptionalLong fencingToken = mLease.fencingToken(mClock.millis(), mWallClock.getAsLong());
        if (accepted.isLeft() || fencingToken.isEmpty()) {
            String reason = accepted.isLeft() ? accepted.getLeft() : "lease not certain";
            mDependencies.log().log(
                    RelayEvent.ORDER_ENDED,
                    change.engine().id(),
                    change.stage(),
                    fencingToken.orElse(0),
                    reason);
            scheduleNext(HOLDER_INTERVAL_MILLIS);
            return;
        }
        mPendingChanges.put(
                change.engine().id(),
                new PendingChange(change.stage(), mClock.millis() + changeMillis(change.engine())));
        mDependencies
                .orders()
                .order(change, mSelf, fencingToken.getAsLong(), accepted.get())
                .thenAcceptAsync(
                        response -> {
                            mDependencies.log().log(
                                    RelayEvent.ORDER_ENDED,
                                    change.engine().id(),
                                    change.stage(),
                                    fencingToken.getAsLong(),
                                    response);
                            scheduleNext(HOLDER_INTERVAL_MILLIS);
                        },
                        mExecutor);
    }

    private long changeMillis(Backend engine) {
        return Optional.ofNullable(mServices.current().get(engine.service()))
                .map(profile -> CHANGE_TIMEOUT_FACTOR * profile.stageSwitchMillis())
                .orElse(0L);
    }

    private void scheduleNext(long millis) {
        mExecutor.schedule(this::poll, millis, TimeUnit.MILLISECONDS);
    }
}
