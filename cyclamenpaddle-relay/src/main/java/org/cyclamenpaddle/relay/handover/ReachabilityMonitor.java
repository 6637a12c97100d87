package org.cyclamenpaddle.relay.handover;

import com.linecorp.armeria.common.CommonPools;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.http.ConnectCheck;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.routing.connectivity.BackendReachability;
import org.cyclamenpaddle.routing.connectivity.CheckResult;
import org.cyclamenpaddle.routing.connectivity.CheckTarget;
import org.cyclamenpaddle.routing.connectivity.ReachabilitySettings;

/**
 * Controller that opens connections to backend servers to detect when this host has lost its paths
 * to them, and when it has them back.
 *
 * <p>The connections carry no request. How long they may take is decided here and not by the
 * kernel, whose timeouts for new and open connections are several seconds and longer. Thread-safe.
 */
public final class ReachabilityMonitor {

    /** Opens a connection to check a path. */
    @FunctionalInterface
    public interface Check {

        /**
         * Starts a check.
         *
         * @return completes with the result; never exceptionally
         */
        CompletableFuture<ConnectCheck.Result> start(Backend backend, int timeoutMillis);
    }

    /** Timeout of a check, in milliseconds: many round trips between failure domains. */
    private static final int CHECK_TIMEOUT_MILLIS = 150;

    /** Delay by which a late result shows that this host was suspended or overloaded. */
    private static final long MAX_DELAY_MILLIS = 100;

    private static final long INTERVAL_MILLIS = 250;

    /**
     * Maximum time until an inquiry is answered, in milliseconds. One check and then several
     * together take 300 ms on silent paths; the rest is for a busy host.
     */
    private static final long INQUIRY_MILLIS = 1_000;

    /** An inquiry that only checks begun since then can answer. */
    private record Inquiry(
            ServiceName service, long sinceMillis, CompletableFuture<Boolean> cutOff) {}

    private final BackendRegistry mRegistry;
    private final String mOwnDomain;
    private final Check mCheck;
    private final RelayEventLog mLog;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final Table<BackendReachability> mReachability;
    private final AtomicBoolean mRoundScheduled = new AtomicBoolean();
    private final Map<ServiceName, Long> mCutOffSince = new HashMap<>();
    private final List<Inquiry> mInquiries = new ArrayList<>();
    private volatile Set<ServiceName> mCutOff = Set.of();

    /**
     * Creates a monitor; {@link #start} starts it.
     *
     * @param ownDomain failure domain of this host
     * @param check opens connections
     * @param executor a single thread
     * @param random uniformly distributed values from 0 to 1
     */
    public ReachabilityMonitor(
            BackendRegistry registry,
            String ownDomain,
            Check check,
            RelayEventLog log,
            ScheduledExecutorService executor,
            Clock clock,
            DoubleSupplier random) {
        mRegistry = registry;
        mOwnDomain = ownDomain;
        mCheck = check;
        mLog = log;
        mExecutor = executor;
        mClock = clock;
        mReachability =
                new Table<>(
                        TableOrder.REACHABILITY,
                        new BackendReachability(
                                ReachabilitySettings.DEFAULTS, random, clock.millis()));
    }

    /** Returns a check that connects to the server itself. */
    public static Check connecting() {
        return (backend, timeoutMillis) ->
                ConnectCheck.start(
                        CommonPools.workerGroup().next(),
                        backend.address(),
                        backend.port(),
                        timeoutMillis);
    }

    /** Starts the checks. */
    public void start() {
        mExecutor.scheduleWithFixedDelay(
                this::round, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether this host has lost its paths to the servers of a service. */
    public boolean isCutOff(ServiceName service) {
        return mCutOff.contains(service);
    }

    /**
     * Finds out whether this host has lost its paths to the servers of a service, after none of
     * those that a request was sent to was reached.
     *
     * @return completes with true if it has, and with false if a server was reached or the checks
     *     showed nothing in time; never exceptionally
     */
    public CompletableFuture<Boolean> inquire(ServiceName service) {
        CompletableFuture<Boolean> cutOff = new CompletableFuture<>();
        Inquiry inquiry = new Inquiry(service, mClock.millis(), cutOff);
        try {
            mExecutor.execute(
                    () -> {
                        mInquiries.add(inquiry);
                        mReachability.write(state -> state.noneReached(service));
                        scheduleRound();
                    });
        } catch (RejectedExecutionException stopping) {
            cutOff.complete(false);
        }
        return cutOff.completeOnTimeout(false, INQUIRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Records that a request could not be sent to a server, or got no response. */
    public void requestFailed(Backend backend) {
        long now = mClock.millis();
        mReachability.write(state -> state.requestFailed(backend.service(), now));
        scheduleRound();
    }

    /**
     * Records that a request has opened a connection to a server.
     *
     * @param sentMillis time at which the connection was requested
     */
    public void requestConnected(Backend backend, long sentMillis) {
        mReachability.write(state -> state.requestConnected(backend.service(), sentMillis));
    }

    /**
     * Records that a server has responded to a request, over any connection.
     *
     * @param sentMillis time at which the request was sent
     */
    public void requestResponded(long sentMillis) {
        mReachability.write(state -> state.requestResponded(sentMillis));
    }

    private void scheduleRound() {
        if (mRoundScheduled.compareAndSet(false, true)) {
            try {
                mExecutor.execute(
                        () -> {
                            mRoundScheduled.set(false);
                            round();
                        });
            } catch (RejectedExecutionException stopping) {
                // The process ends.
            }
        }
    }

    private void round() {
        long now = mClock.millis();
        Map<ServiceName, List<Backend>> listed = mRegistry.usableByService();
        Map<ServiceName, List<CheckTarget>> targets =
                listed.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, entry -> targets(entry.getValue())));
        List<BackendId> due =
                mReachability.read(reachability -> reachability.dueChecks(targets, now));
        listed.values().stream()
                .flatMap(List::stream)
                .filter(backend -> due.contains(backend.id()))
                .forEach(backend -> check(backend, now));
        answerInquiries();
    }

    /** Runs on the executor's thread only. */
    private void answerInquiries() {
        mInquiries.removeIf(
                inquiry -> {
                    ServiceName service = inquiry.service();
                    if (!mReachability.read(state -> state.isUndecided(service))) {
                        inquiry.cutOff().complete(isCutOff(service));
                    }
                    return inquiry.cutOff().isDone();
                });
    }

    /** Keeps the inquiries open that arrived after the start of a check that has succeeded. */
    private void keepLaterInquiries(long startMillis) {
        mInquiries.stream()
                .filter(inquiry -> startMillis < inquiry.sinceMillis())
                .map(Inquiry::service)
                .distinct()
                .forEach(service -> mReachability.write(state -> state.noneReached(service)));
    }

    private List<CheckTarget> targets(List<Backend> backends) {
        return backends.stream()
                .map(
                        backend ->
                                new CheckTarget(
                                        backend.id(), backend.domain().value().equals(mOwnDomain)))
                .toList();
    }

    private void check(Backend backend, long startMillis) {
        mCheck.start(backend, CHECK_TIMEOUT_MILLIS)
                .thenAcceptAsync(
                        result -> {
                            long now = mClock.millis();
                            checked(backend, result(result, now - startMillis), startMillis, now);
                        },
                        mExecutor);
    }

    private static CheckResult result(ConnectCheck.Result result, long tookMillis) {
        return switch (result) {
            case ACCEPTED -> CheckResult.CONNECTED;
            case REFUSED -> CheckResult.FAILED;
            case NO_RESPONSE ->
                    tookMillis > CHECK_TIMEOUT_MILLIS + MAX_DELAY_MILLIS
                            ? CheckResult.INCONCLUSIVE
                            : CheckResult.FAILED;
        };
    }

    private void checked(Backend backend, CheckResult result, long startMillis, long nowMillis) {
        Map<ServiceName, BackendReachability.Change> changes =
                mReachability.read(
                        reachability -> {
                            Map<ServiceName, BackendReachability.Change> changed =
                                    reachability.checked(backend.id(), result, nowMillis);
                            mCutOff = reachability.cutOff();
                            return changed;
                        });
        changes.forEach((service, change) -> changed(service, change, nowMillis));
        if (result == CheckResult.CONNECTED) {
            keepLaterInquiries(startMillis);
        }
        answerInquiries();
        if (result != CheckResult.CONNECTED || !mInquiries.isEmpty()) {
            scheduleRound();
        }
    }

    /** Runs on the executor's thread only. */
    private void changed(ServiceName service, BackendReachability.Change change, long nowMillis) {
        if (change == BackendReachability.Change.CUT_OFF) {
            mCutOffSince.put(service, nowMillis);
            int unreached = mReachability.read(state -> state.unreached(service).size());
            mLog.log(
                    RelayEvent.HOST_CUT_OFF,
                    service,
                    mRegistry.usable(service).size(),
                    unreached,
                    mCutOff.size());
        } else {
            long since = mCutOffSince.getOrDefault(service, nowMillis);
            mCutOffSince.remove(service);
            mRegistry.recordReachable(service);
            mLog.log(RelayEvent.HOST_REACHES_SERVICE, service, nowMillis - since);
        }
    }
}
