package org.cyclamenpaddle.relay.assembly;

import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.core.time.MonotonicClock;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.http.ForeignBytes;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.backend.CostSettings;
import org.cyclamenpaddle.relay.crash.CrashDetector;
import org.cyclamenpaddle.relay.crash.PartTracker;
import org.cyclamenpaddle.relay.crash.RequestQuarantine;
import org.cyclamenpaddle.relay.front.BackendCalls;
import org.cyclamenpaddle.relay.front.BackendPermits;
import org.cyclamenpaddle.relay.front.ConfigurationCell;
import org.cyclamenpaddle.relay.front.HandoverService;
import org.cyclamenpaddle.relay.front.LeavingCheck;
import org.cyclamenpaddle.relay.front.NewConnections;
import org.cyclamenpaddle.relay.front.RelayContext;
import org.cyclamenpaddle.relay.front.RelayService;
import org.cyclamenpaddle.relay.front.SharedRetryBudget;
import org.cyclamenpaddle.relay.front.SilentServerCheck;
import org.cyclamenpaddle.relay.front.StartupGate;
import org.cyclamenpaddle.relay.handover.HelperDirectory;
import org.cyclamenpaddle.relay.handover.ReachabilityMonitor;
import org.cyclamenpaddle.relay.host.HostEntry;
import org.cyclamenpaddle.relay.host.HostRegistry;
import org.cyclamenpaddle.relay.host.LiveHost;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.LostFrames;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.quota.PeerAddress;
import org.cyclamenpaddle.relay.quota.QuotaController;
import org.cyclamenpaddle.relay.resume.StreamMemory;
import org.cyclamenpaddle.relay.resume.StreamPeers;
import org.cyclamenpaddle.relay.role.DemandMeter;
import org.cyclamenpaddle.relay.role.RoleAllocation;
import org.cyclamenpaddle.relay.role.RoleController;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.settings.Endpoint;
import org.cyclamenpaddle.relay.settings.RelaySettings;
import org.cyclamenpaddle.relay.store.Follower;
import org.cyclamenpaddle.relay.store.ListingAge;
import org.cyclamenpaddle.relay.store.StoreAnswers;
import org.cyclamenpaddle.relay.store.UnusableEntries;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.team.TeamQuota;
import org.cyclamenpaddle.routing.buffer.ByteAccount;
import org.cyclamenpaddle.routing.limit.QuotaLimit;
import org.cyclamenpaddle.routing.reservation.ReturningCallers;

/** Composes a relay process from its parts, starts it and runs its planned stop. */
public final class RelayProcess implements AutoCloseable {

    /** Interval at which the settings file is read without a signal, in milliseconds. */
    private static final long RELOAD_MILLIS = 5_000;

    private final RelaySettings mSettings;
    private final Supplier<Either<String, RelaySettings>> mSettingsReader;
    private volatile RelaySettings mCurrentSettings;
    private final Clock mClock = new MonotonicClock();
    private final DoubleSupplier mRandom = () -> ThreadLocalRandom.current().nextDouble();
    private final RelayEventLog mLog;
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final ConfigurationCell mConfiguration = new ConfigurationCell();
    private final BackendConnections mConnections;
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor(RelayProcess::daemon);
    private final DemandMeter mDemand = new DemandMeter();
    private final SharedRetryBudget mBudget;
    private final BackendRegistry mRegistry;
    private final RequestQuarantine mQuarantine;
    private final PartTracker mParts;
    private final StreamMemory mStreams;
    private final CrashDetector mCrashes;
    private final StoreAnswers mStoreAnswers = new StoreAnswers();
    private final ListingAge mListing = new ListingAge(mClock, System::currentTimeMillis);
    private final BackendCalls mCalls;
    private final StartupGate mStartupGate = new StartupGate();
    private final StateUpdater mUpdater;
    private final RelayService mService;
    private final QuotaController mQuotas;
    private final PlatformAdapter mAdapter;
    private final GracefulShutdown mShutdown;
    private final Lifecycle mLifecycle = new Lifecycle();
    private volatile boolean mListening;
    private volatile Optional<HostRegistry> mHosts = Optional.empty();
    private final HelperDirectory mHelpers;
    private final ReachabilityMonitor mReachability;
    private final NewConnections mNewConnections;
    private final Server mCallerServer;
    private final Optional<Server> mHandoverServer;
    private final Server mCheckServer;

    /**
     * Composes a process; {@link #start} starts it.
     *
     * @param settings validated settings
     * @param reader reads the settings file again
     * @param adapter adapter to the deployment's platform
     * @param log event log
     */
    public RelayProcess(
            RelaySettings settings,
            Supplier<Either<String, RelaySettings>> reader,
            PlatformAdapter adapter,
            RelayEventLog log) {
        mSettings = settings;
        mCurrentSettings = settings;
        mSettingsReader = reader;
        mAdapter = adapter;
        mConnections = adapter.connections();
        mLog = log;
        mRegistry =
                new BackendRegistry(
                        new FailureDomain(settings.host().domain()),
                        CostSettings.DEFAULTS,
                        mRandom);
        mQuotas = quotaController(settings);
        mQuarantine =
                new RequestQuarantine(
                        mQuotas.strikePeers(), this::renewHostEntry, mLog, mMetrics, mClock);
        mStreams = new StreamMemory(mQuotas.streamPeers(), mMetrics, mClock);
        mParts = partTracker();
        mCrashes = new CrashDetector(mRegistry::isReplaced, mQuarantine, mParts, mMetrics, mClock);
        mUpdater =
                new StateUpdater(
                        mLog,
                        mConfiguration,
                        mRegistry,
                        mCrashes,
                        storeOutages(),
                        mListing,
                        mMetrics,
                        mClock,
                        mStartupGate,
                        this::logReady);
        RelaySettings.Retry retry = settings.retry();
        mBudget = new SharedRetryBudget(retry.share(), retry.slack(), retry.windowMillis(), mClock);
        mCalls =
                new BackendCalls(
                        mConnections, mRegistry, adapter.backendMessages(), mLog, mMetrics, mClock);
        ByteAccount bytes = new ByteAccount(settings.bytes());
        mHelpers = helperDirectory(settings.host());
        mReachability = reachabilityMonitor(settings.host());
        mRegistry.onSendFailed(mReachability::requestFailed);
        mCalls.onResponse(mReachability::requestResponded);
        mConnections.onForeignBytes(this::logForeignBytes);
        mRegistry.directives().onLeavingUnconfirmed(leavingCheck()::begin);
        RelayContext relay = context(bytes);
        mShutdown = new GracefulShutdown(settings.stop().graceMillis(), mClock);
        mService =
                new RelayService(
                        relay,
                        adapter.callerMessages(),
                        mConfiguration,
                        mShutdown,
                        mStartupGate,
                        mQuotas.quotas());
        mNewConnections = newConnections();
        mCallerServer =
                RelayServers.callers(settings.listen().callers(), mService, mNewConnections);
        HandoverService handovers = new HandoverService(relay, mService);
        mHandoverServer =
                settings.listen()
                        .requests()
                        .map(listen -> RelayServers.requests(listen, handovers));
        mCheckServer =
                RelayServers.checks(settings.listen().checks(), this::readiness, this::metrics);
        registerGauges(bytes);
    }

    private StoreOutages storeOutages() {
        return new StoreOutages(
                mRegistry, mStoreAnswers, mQuotas.storePeers(), mLog, mScheduler, mClock);
    }

    private PartTracker partTracker() {
        return new PartTracker(
                mQuotas.strikePeers(),
                mQuarantine,
                mLog,
                mMetrics,
                mClock,
                this::runLater,
                mRandom);
    }

    private NewConnections newConnections() {
        return new NewConnections(
                CommonPools.workerGroup().next(), mHelpers::hasHelpers, mLog, mMetrics, mClock);
    }

    private RelayContext context(ByteAccount bytes) {
        return new RelayContext(
                mRegistry,
                mBudget,
                mDemand,
                new Table<>(TableOrder.CALLERS, new ReturningCallers()),
                mConnections,
                new BackendPermits(mRegistry, mQuotas.permits(), mClock),
                bytes,
                mCrashes,
                mQuarantine,
                mParts,
                mListing,
                mStreams,
                mReachability,
                mHelpers,
                mCalls,
                new SilentServerCheck(
                        mRegistry,
                        mCalls,
                        mAdapter.backendMessages(),
                        mAdapter.engineMessages(),
                        this::healthPath,
                        mClock),
                mAdapter.backendMessages(),
                mAdapter.engineMessages(),
                mLog,
                mMetrics,
                mClock,
                mRandom);
    }

    private LeavingCheck leavingCheck() {
        return new LeavingCheck(
                mRegistry.directives(),
                mCalls,
                mAdapter.backendMessages(),
                this::healthPath,
                mLog,
                mScheduler,
                mClock);
    }

    private Optional<String> healthPath(ServiceName service) {
        return mConfiguration.inForce().flatMap(configuration -> configuration.healthPath(service));
    }

    private HelperDirectory helperDirectory(RelaySettings.Host host) {
        return new HelperDirectory(
                new HostId(host.name()), new FailureDomain(host.domain()), mClock, mRandom);
    }

    private ReachabilityMonitor reachabilityMonitor(RelaySettings.Host host) {
        return new ReachabilityMonitor(
                mRegistry,
                host.domain(),
                ReachabilityMonitor.connecting(),
                mLog,
                mScheduler,
                mClock,
                mRandom);
    }

    private QuotaController quotaController(RelaySettings settings) {
        return new QuotaController(
                new PeerAddress(
                        new HostId(settings.host().name()),
                        new FailureDomain(settings.host().domain()),
                        settings.listen().peers()),
                settings.quota(),
                this::quotaLimit,
                this::teamsWithQuota,
                message -> mParts.received(message),
                new ReportedStreams(),
                mStoreAnswers,
                new LostFrames(mMetrics),
                mLog,
                mScheduler,
                mClock);
    }

    /** The connections between hosts are created before what receives their messages. */
    private final class ReportedStreams implements StreamPeers.Listener {

        @Override
        public void reported(Collection<StreamBeginning> beginnings) {
            mStreams.reported(beginnings);
        }

        @Override
        public Optional<SoftwareVersion> known(StreamKey stream) {
            return mStreams.known(stream);
        }

        @Override
        public Collection<StreamBeginning> all() {
            return mStreams.all();
        }
    }

    private void registerGauges(ByteAccount bytes) {
        mMetrics.gauge("requests_in_flight", mService::inFlight);
        mMetrics.gauge("bytes_held", bytes::held);
        mMetrics.gauge("backends_named", mRegistry::size);
        mMetrics.gauge("streams_remembered", mStreams::size);
        mMetrics.gauge("streams_forgotten", mStreams::dropped);
        mMetrics.gauge("configuration_version", mConfiguration::version);
    }

    /**
     * Starts to listen and to follow the store.
     *
     * <p>The ports for checks and for other hosts are bound before that for callers: a process that
     * cannot bind them must not have accepted requests that end with it.
     */
    public Try<Void> start() {
        return Try.run(this::open).onFailure(cause -> mLog.log(RelayEvent.START_FAILED, cause));
    }

    private void open() {
        mLog.log(RelayEvent.STARTING, ProcessHandle.current().pid());
        PeerAddress self = mQuotas.start().get();
        mCheckServer.start().join();
        if (!mLifecycle.beginService()) {
            return;
        }
        mHandoverServer.ifPresent(server -> server.start().join());
        startFollowers(self);
        mReachability.start();
        mNewConnections.start();
        mCallerServer.start().join();
        mScheduler.schedule(mStartupGate::open, StartupGate.MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        mListening = true;
        mLog.log(
                RelayEvent.STARTED,
                mSettings.host().name(),
                mSettings.host().domain(),
                mSettings.listen().callers(),
                ProcessHandle.current().pid());
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return BoundPorts.of(mCallerServer, mSettings.listen().callers());
    }

    /** Returns the port for readiness checks and metrics. */
    public int checkPort() {
        return BoundPorts.of(mCheckServer, mSettings.listen().checks());
    }

    /** Returns whether the host is ready for new requests. */
    public boolean ready() {
        return mListening && mUpdater.complete() && !mShutdown.isStopping();
    }

    /**
     * Reloads the settings and applies those that can change at run time.
     *
     * <p>The file can also change without a signal, so this runs every few seconds as well.
     * Addresses change only at the next start. An invalid file is logged and the settings in force
     * stay.
     */
    public synchronized void reload() {
        Either<String, RelaySettings> read = mSettingsReader.get();
        if (read.isLeft()) {
            mLog.log(RelayEvent.SETTINGS_RELOADED, false, read.getLeft());
        } else if (!read.get().equals(mCurrentSettings)) {
            mCurrentSettings = read.get();
            mShutdown.updateGrace(mCurrentSettings.stop().graceMillis());
            mLog.log(RelayEvent.SETTINGS_RELOADED, true, "none");
        }
    }

    /**
     * Runs the planned stop: takes the host out of service and waits for the requests in flight. A
     * process that has not begun to serve stops at once.
     */
    public void stop() {
        if (mLifecycle.endUnused()) {
            mLog.log(RelayEvent.STOPPED, 0, 0);
            mLog.flush();
            return;
        }
        mLog.log(RelayEvent.STOPPING, mService.inFlight(), mCurrentSettings.stop().graceMillis());
        // Hosts that have started lately are needed to remember the streams of this one.
        mHosts.ifPresent(HostRegistry::listNow);
        mStreams.handOn();
        long tookMillis = mShutdown.run(mService::inFlight);
        // Streams that have begun meanwhile.
        mStreams.handOn();
        mLog.log(RelayEvent.STOPPED, mService.inFlight(), tookMillis);
        mLog.flush();
    }

    @Override
    public void close() {
        mNewConnections.stop();
        CompletableFuture.allOf(mCheckServer.stop(), mCallerServer.stop()).join();
        mHandoverServer.ifPresent(server -> server.stop().join());
        mScheduler.shutdownNow();
        mQuotas.close();
        mConnections.close();
    }

    private void startFollowers(PeerAddress self) {
        mScheduler.scheduleWithFixedDelay(
                this::reloadAndExpire, RELOAD_MILLIS, RELOAD_MILLIS, TimeUnit.MILLISECONDS);
        Follower<RelayConfiguration> configurations =
                new Follower<>(
                        mAdapter.configurations(),
                        mUpdater.configurations(),
                        Follower.LONG_WATCH_MILLIS,
                        () -> {},
                        mScheduler,
                        mClock,
                        mRandom);
        configurations.start();
        HostRegistry hosts = hostRegistry(self);
        mHosts = Optional.of(hosts);
        hosts.start();
        roleController().start();
        new Follower<>(
                        mAdapter.backends(),
                        mUpdater.backends(),
                        Follower.SHORT_WATCH_MILLIS,
                        configurations::renew,
                        mScheduler,
                        mClock,
                        mRandom)
                .start();
    }

    private void runLater(Runnable task, long delayMillis) {
        try {
            mScheduler.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException stopping) {
            // Reports of a host that stops are not needed.
        }
    }

    private void reloadAndExpire() {
        reload();
        mQuarantine.expire();
        mStreams.expire();
    }

    private HostRegistry hostRegistry(PeerAddress self) {
        return new HostRegistry(
                mSettings.host().name(),
                heartbeat ->
                        new HostEntry(
                                heartbeat,
                                Optional.of(self.domain()),
                                Optional.of(self.endpoint()),
                                requestEndpoint(),
                                mQuarantine.record()),
                mAdapter.hosts(),
                earlier -> mQuarantine.recordRead(earlier.quarantined()),
                this::updateHosts,
                new UnusableEntries("hosts", mLog, mMetrics),
                mLog,
                mScheduler,
                mClock,
                mRandom);
    }

    private void renewHostEntry() {
        mHosts.ifPresent(HostRegistry::renew);
    }

    private void updateHosts(List<LiveHost> hosts) {
        hosts.forEach(host -> mQuarantine.recordRead(host.entry().quarantined()));
        mBudget.updateHostCount(hosts.size());
        mQuotas.updateHosts(hosts.stream().flatMap(ListedHosts::peer).toList());
        mHelpers.update(hosts.stream().flatMap(ListedHosts::helper).toList());
    }

    /** Returns where other hosts reach this one to hand over requests. */
    private Optional<Endpoint> requestEndpoint() {
        return mHandoverServer.flatMap(
                server ->
                        mSettings
                                .listen()
                                .requests()
                                .map(
                                        listen ->
                                                new Endpoint(
                                                        listen.address(),
                                                        BoundPorts.of(server, listen))));
    }

    private Set<TeamName> teamsWithQuota() {
        return mConfiguration
                .inForce()
                .map(configuration -> configuration.teams().withQuota())
                .orElse(Set.of());
    }

    private Optional<QuotaLimit> quotaLimit(TeamName team) {
        return mConfiguration
                .inForce()
                .flatMap(configuration -> configuration.teams().find(team))
                .flatMap(Team::quota)
                .map(TeamQuota::limit);
    }

    private RoleController roleController() {
        String incarnation = mSettings.host().name() + "-" + UUID.randomUUID();
        return new RoleController(
                incarnation,
                new RoleController.Dependencies(
                        mRegistry,
                        mDemand,
                        new RoleAllocation(),
                        mAdapter.orders().apply(mCalls),
                        mAdapter.lease(),
                        mLog),
                () ->
                        mConfiguration
                                .inForce()
                                .map(RelayConfiguration::engineProfiles)
                                .orElse(Map.of()),
                mScheduler,
                mClock,
                System::currentTimeMillis,
                mRandom);
    }

    private HttpResponse readiness() {
        return HttpResponse.of(ready() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
    }

    private HttpResponse metrics() {
        return HttpResponse.of(MediaType.PLAIN_TEXT_UTF_8, mMetrics.text());
    }

    private void logForeignBytes(ForeignBytes bytes) {
        mMetrics.recordForeignBytes(bytes.kind());
        mLog.log(
                RelayEvent.FOREIGN_BYTES, bytes.address(), bytes.connection(), bytes.kind().text());
    }

    private void logReady() {
        mLog.log(
                RelayEvent.READY,
                mConfiguration.version(),
                mConfiguration.inForce().map(RelayConfiguration::routes).orElse(0),
                mRegistry.size());
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "store-follower");
        thread.setDaemon(true);
        return thread;
    }
}
