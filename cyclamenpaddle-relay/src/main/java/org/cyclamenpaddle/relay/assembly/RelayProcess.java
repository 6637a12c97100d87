package org.cyclamenpaddle.relay.assembly;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.core.time.MonotonicClock;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.backend.CostSettings;
import org.cyclamenpaddle.relay.front.ConfigurationCell;
import org.cyclamenpaddle.relay.front.RelayContext;
import org.cyclamenpaddle.relay.front.RelayService;
import org.cyclamenpaddle.relay.front.SharedRetryBudget;
import org.cyclamenpaddle.relay.front.StartupGate;
import org.cyclamenpaddle.relay.host.HostRegistry;
import org.cyclamenpaddle.relay.log.DecisionLog;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.role.DemandMeter;
import org.cyclamenpaddle.relay.role.RoleAllocation;
import org.cyclamenpaddle.relay.role.RoleController;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.settings.Endpoint;
import org.cyclamenpaddle.relay.settings.RelaySettings;
import org.cyclamenpaddle.relay.store.Follower;
import org.cyclamenpaddle.routing.reservation.ReturningClients;

/** One relay process: its parts, its start and its planned stop. */
public final class RelayProcess implements AutoCloseable {

    /**
     * Longest pause of a caller between two requests on one connection, in milliseconds.
     *
     * <p>Above what any configuration grants, so that a caller never meets a connection that has
     * just been closed here.
     */
    private static final long CALLER_IDLE_MILLIS = 120_000;

    /** Largest body taken, in bytes; the configurations grant 4 MiB. */
    private static final long MAX_BODY_BYTES = 8L << 20;

    /** Longest header block taken, in bytes; the configurations grant 16 KiB. */
    private static final int MAX_HEADER_BYTES = 32 << 10;

    private static final String READY_PATH = "/v1/ready";
    private static final String METRICS_PATH = "/metrics";

    /** How often the settings file is looked at without a signal, in milliseconds. */
    private static final long RELOAD_MILLIS = 5_000;

    private final RelaySettings mSettings;
    private final Supplier<Either<String, RelaySettings>> mReader;
    private volatile RelaySettings mLatest;
    private final Clock mClock = new MonotonicClock();
    private final DoubleSupplier mRandom = () -> ThreadLocalRandom.current().nextDouble();
    private final DecisionLog mLog;
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final ConfigurationCell mConfiguration = new ConfigurationCell();
    private final BackendConnections mConnections;
    private final ScheduledExecutorService mFollowing =
            Executors.newSingleThreadScheduledExecutor(RelayProcess::daemon);
    private final DemandMeter mDemand = new DemandMeter();
    private final SharedRetryBudget mBudget;
    private final BackendRegistry mBoard;
    private final StartupGate mStartupGate = new StartupGate();
    private final StateUpdater mUpdater;
    private final RelayService mService;
    private final PlatformAdapter mAdapter;
    private final GracefulShutdown mStop;
    private final Server mCallerServer;
    private final Server mCheckServer;

    /**
     * Composes a process; {@link #start} begins.
     *
     * @param settings checked settings
     * @param reader reads them again
     * @param adapter what the deployment brings along
     * @param log decision lines
     */
    public RelayProcess(
            RelaySettings settings,
            Supplier<Either<String, RelaySettings>> reader,
            PlatformAdapter adapter,
            DecisionLog log) {
        mSettings = settings;
        mLatest = settings;
        mReader = reader;
        mAdapter = adapter;
        mConnections = adapter.connections();
        mLog = log;
        mBoard =
                new BackendRegistry(
                        new FailureDomain(settings.host().domain()),
                        CostSettings.DEFAULTS,
                        mRandom);
        mUpdater =
                new StateUpdater(
                        mLog, mConfiguration, mBoard, mClock, mStartupGate, this::logReady);
        RelaySettings.Retry retry = settings.retry();
        mBudget = new SharedRetryBudget(retry.share(), retry.slack(), retry.windowMillis(), mClock);
        RelayContext relay =
                new RelayContext(
                        mBoard,
                        mBudget,
                        mDemand,
                        new Table<>(TableOrder.CALLERS, new ReturningClients()),
                        mConnections,
                        adapter.backendMessages(),
                        adapter.engineMessages(),
                        mLog,
                        mMetrics,
                        mClock,
                        mRandom);
        mStop = new GracefulShutdown(settings.stop().graceMillis(), mClock);
        mService =
                new RelayService(
                        relay, adapter.callerMessages(), mConfiguration, mStop, mStartupGate);
        mCallerServer = callerServer();
        mCheckServer = checkServer();
        mMetrics.gauge("requests_in_flight", mService::inFlight);
        mMetrics.gauge("backends_named", mBoard::size);
        mMetrics.gauge("configuration_version", mConfiguration::version);
    }

    /** Begins to listen and to follow the store. */
    public Try<Void> start() {
        return Try.run(
                () -> {
                    follow();
                    mCallerServer.start().join();
                    mCheckServer.start().join();
                    mFollowing.schedule(
                            mStartupGate::open, StartupGate.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
                    mLog.log(
                            RelayEvent.STARTED,
                            mSettings.host().name(),
                            mSettings.host().domain(),
                            mSettings.listen().callers(),
                            ProcessHandle.current().pid());
                });
    }

    /** Returns the port at which callers are served. */
    public int callerPort() {
        return BoundPorts.of(mCallerServer, mSettings.listen().callers());
    }

    /** Returns the port at which readiness and metrics are served. */
    public int checkPort() {
        return BoundPorts.of(mCheckServer, mSettings.listen().checks());
    }

    /** Returns whether new work is wanted. */
    public boolean ready() {
        return mUpdater.complete() && !mStop.isStopping();
    }

    /**
     * Reads the settings again and takes over what can change in a running process.
     *
     * <p>The file can also change without a signal, so this is done every few seconds as well.
     * Addresses stay as they are until the next start. A file that cannot be used is logged, and
     * the settings in force stay.
     */
    public synchronized void reload() {
        Either<String, RelaySettings> read = mReader.get();
        if (read.isLeft()) {
            mLog.log(RelayEvent.SETTINGS_RELOADED, false, read.getLeft());
        } else if (!read.get().equals(mLatest)) {
            mLatest = read.get();
            mStop.grace(mLatest.stop().graceMillis());
            mLog.log(RelayEvent.SETTINGS_RELOADED, true, "none");
        }
    }

    /** Takes the host out of service and waits for the requests in flight. */
    public void stop() {
        mLog.log(RelayEvent.STOPPING, mService.inFlight(), mLatest.stop().graceMillis());
        long tookMillis = mStop.run(mService::inFlight);
        mLog.log(RelayEvent.STOPPED, mService.inFlight(), tookMillis);
        mLog.flush();
    }

    @Override
    public void close() {
        CompletableFuture.allOf(mCheckServer.stop(), mCallerServer.stop()).join();
        mFollowing.shutdownNow();
        mConnections.close();
    }

    private void follow() {
        mFollowing.scheduleWithFixedDelay(
                this::reload, RELOAD_MILLIS, RELOAD_MILLIS, TimeUnit.MILLISECONDS);
        new Follower<>(
                        mAdapter.configurations(),
                        mUpdater.configurations(),
                        mFollowing,
                        mClock,
                        mRandom)
                .start();
        new HostRegistry(
                        mSettings.host().name(),
                        mAdapter.hosts(),
                        mBudget::updateHostCount,
                        mLog,
                        mFollowing,
                        mClock,
                        mRandom)
                .start();
        stageKeeper().start();
        new Follower<>(mAdapter.backends(), mUpdater.backends(), mFollowing, mClock, mRandom)
                .start();
    }

    private RoleController stageKeeper() {
        String life = mSettings.host().name() + "-" + UUID.randomUUID();
        return new RoleController(
                life,
                new RoleController.Dependencies(
                        mBoard,
                        mDemand,
                        new RoleAllocation(),
                        mAdapter.orders(),
                        mAdapter.lease(),
                        mLog),
                () ->
                        mConfiguration
                                .inForce()
                                .map(RelayConfiguration::engineProfiles)
                                .orElse(Map.of()),
                mFollowing,
                mClock,
                System::currentTimeMillis,
                mRandom);
    }

    private Server callerServer() {
        return Server.builder()
                .http(address(mSettings.listen().callers()))
                .requestTimeout(Duration.ZERO)
                .idleTimeoutMillis(CALLER_IDLE_MILLIS)
                .maxRequestLength(MAX_BODY_BYTES)
                .http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http1MaxInitialLineLength(MAX_HEADER_BYTES)
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .meterRegistry(NoopMeterRegistry.get())
                .disableServerHeader()
                .disableDateHeader()
                .serviceUnder("/", mService)
                .build();
    }

    private Server checkServer() {
        return Server.builder()
                .http(address(mSettings.listen().checks()))
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .meterRegistry(NoopMeterRegistry.get())
                .service(READY_PATH, (context, request) -> readiness())
                .service(METRICS_PATH, (context, request) -> metrics())
                .build();
    }

    private static InetSocketAddress address(Endpoint endpoint) {
        return new InetSocketAddress(endpoint.address(), endpoint.port());
    }

    private HttpResponse readiness() {
        return HttpResponse.of(ready() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
    }

    private HttpResponse metrics() {
        return HttpResponse.of(MediaType.PLAIN_TEXT_UTF_8, mMetrics.text());
    }

    private void logReady() {
        mLog.log(
                RelayEvent.READY,
                mConfiguration.version(),
                mConfiguration.inForce().map(RelayConfiguration::routes).orElse(0),
                mBoard.size());
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "store-follower");
        thread.setDaemon(true);
        return thread;
    }
}
