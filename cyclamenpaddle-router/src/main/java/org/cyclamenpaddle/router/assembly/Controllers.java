package org.cyclamenpaddle.router.assembly;

import io.vavr.control.Try;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.core.time.MonotonicClock;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.plain.PlainServiceClient;
import org.cyclamenpaddle.fleet.membership.Membership;
import org.cyclamenpaddle.fleet.membership.MembershipSettings;
import org.cyclamenpaddle.peer.net.PeerNetwork;
import org.cyclamenpaddle.peer.net.PeerSettings;
import org.cyclamenpaddle.router.backend.BackendClients;
import org.cyclamenpaddle.router.backend.BackendFailureReporter;
import org.cyclamenpaddle.router.backend.Canceller;
import org.cyclamenpaddle.router.backend.EngineMonitor;
import org.cyclamenpaddle.router.backend.PrefixMonitor;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.blackboard.RequestTable;
import org.cyclamenpaddle.router.booking.BookingServices;
import org.cyclamenpaddle.router.booking.Bookings;
import org.cyclamenpaddle.router.booking.PeerClaimHolders;
import org.cyclamenpaddle.router.booking.PlainBackendSelector;
import org.cyclamenpaddle.router.booking.RepeatableCalls;
import org.cyclamenpaddle.router.configuration.ConfigurationDriver;
import org.cyclamenpaddle.router.configuration.PlatformAdmin;
import org.cyclamenpaddle.router.configuration.PlatformHealth;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.explain.DecisionLog;
import org.cyclamenpaddle.router.grant.LedgerManager;
import org.cyclamenpaddle.router.metric.GaugeSources;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.operator.OperatorApi;
import org.cyclamenpaddle.router.order.FenceStore;
import org.cyclamenpaddle.router.order.OrderDriver;
import org.cyclamenpaddle.router.order.OrderServices;
import org.cyclamenpaddle.router.order.SlotStore;
import org.cyclamenpaddle.router.peering.HeartbeatContents;
import org.cyclamenpaddle.router.peering.HostDiscovery;
import org.cyclamenpaddle.router.peering.MembershipDriver;
import org.cyclamenpaddle.router.peering.NetworkTransport;
import org.cyclamenpaddle.router.peering.PeerMessageDispatcher;
import org.cyclamenpaddle.router.peering.PeerMetrics;
import org.cyclamenpaddle.router.request.HostEnvironment;
import org.cyclamenpaddle.router.request.ModelRequests;
import org.cyclamenpaddle.router.request.RequestAccounting;
import org.cyclamenpaddle.router.request.RequestPolicies;
import org.cyclamenpaddle.router.request.RequestServices;
import org.cyclamenpaddle.router.settings.RouterSettings;
import org.cyclamenpaddle.router.worker.Workers;
import org.cyclamenpaddle.routing.admission.Admission;
import org.cyclamenpaddle.routing.admission.AdmissionSettings;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.cyclamenpaddle.routing.quarantine.Quarantine;
import org.cyclamenpaddle.routing.retry.RetryBudget;
import org.cyclamenpaddle.store.codec.ConfigurationCodec;
import org.cyclamenpaddle.store.hosts.HttpHostList;
import org.cyclamenpaddle.store.objects.HttpObjectStore;

/** Creates all controllers of one entry host and wires them to each other and to the blackboard. */
final class Controllers implements AutoCloseable {

    private static final int WORKER_THREADS = 4;
    private static final long CONFIGURATION_RETRY_MILLIS = 100;
    private static final long HELLO_TIMEOUT_MILLIS = 300;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_EXPLAINED_REQUESTS = 10_000;
    private static final int MAX_DECISIONS_PER_REQUEST = 64;

    private final RouterSettings mSettings;
    private final DecisionSettings mDecisions;
    private final Map<HostId, HostRecord> mLastRecords = new ConcurrentHashMap<>();
    private final EventLog mLog;
    private final Clock mClock = new MonotonicClock();
    private final RouterMetrics mMetrics = new RouterMetrics();
    private final ConfigurationCodec mCodec = new ConfigurationCodec();
    private final HeartbeatContents mHeartbeat = new HeartbeatContents();
    private final BackendConnections mConnections = new BackendConnections();
    private final Incarnation mSelf;
    private final Workers mWorkers;
    private final Blackboard mBlackboard;
    private final DecisionLog mDecisionLog;
    private final PlatformHealth mHealth;
    private final HttpObjectStore mStore;
    private final HttpHostList mHostList;
    private final NetworkTransport mTransport;
    private final MembershipDriver mMembership;
    private final ConfigurationDriver mConfiguration;
    private final LedgerManager mLedgers;
    private final BackendClients mClients;
    private final Canceller mCanceller;
    private final OrderDriver mOrders;
    private final EngineMonitor mEngineMonitor;
    private final PrefixMonitor mPrefixes;
    private final RetryBudget mRetries;
    private final RequestAccounting mAccounting;
    private final HostEnvironment mEnvironment;
    private final ModelRequests mRequests;
    private final PlainServiceClient mPlainClient;
    private final Bookings mBookings;
    private final RepeatableCalls mRepeatable;
    private final HostDiscovery mHostDiscovery;
    private final PeerNetwork mNetwork;

    Controllers(RouterSettings settings, EventLog log, FatalErrorHandler fatalErrorHandler) {
        mSettings = settings;
        mDecisions = new DecisionSettings(settings);
        mLog = log;
        mSelf = new Incarnation(settings.host().name(), System.currentTimeMillis());
        mWorkers = new Workers(WORKER_THREADS, fatalErrorHandler::handle);
        mBlackboard = Blackboard.create(new Quarantine(mDecisions.quarantine()));
        mDecisionLog = new DecisionLog(mClock, MAX_EXPLAINED_REQUESTS, MAX_DECISIONS_PER_REQUEST);
        mHealth = new PlatformHealth(log, mMetrics, mClock);
        mStore = store();
        mHostList = hostList();
        mTransport = new NetworkTransport(this::network);
        mMembership = membership(fatalErrorHandler);
        mConfiguration = configuration();
        mLedgers = new LedgerManager(mBlackboard, mMembership, mTransport, mClock, log, mMetrics);
        mClients = new BackendClients(mConnections);
        mCanceller = new Canceller(mClients, mBlackboard, mWorkers, mMetrics);
        mOrders = orderDriver();
        mEngineMonitor =
                new EngineMonitor(
                        mLedgers,
                        mClients,
                        mMembership,
                        mBlackboard,
                        mOrders,
                        mWorkers,
                        mClock,
                        log);
        mPrefixes =
                new PrefixMonitor(mBlackboard, mClients, mWorkers, settings.host().failureDomain());
        mRetries = new RetryBudget(mDecisions.retries());
        mAccounting = mDecisions.accounting();
        mEnvironment = environment();
        mRequests = modelRequests();
        mPlainClient = new PlainServiceClient(mConnections);
        PlainBackendSelector selector =
                new PlainBackendSelector(mBlackboard, settings.host().failureDomain(), mClock);
        mBookings = new Bookings(bookingServices(selector), mDecisions.retentionMillis());
        mRepeatable =
                new RepeatableCalls(
                        selector,
                        mPlainClient,
                        mEnvironment::newAttempt,
                        mRetries,
                        mMetrics,
                        mClock);
        mHostDiscovery =
                new HostDiscovery(
                        settings.peers().seeds(), mHostList, mMembership, mTransport, mHealth);
        mNetwork = peerNetwork();
        mMembership.onHostChanged(this::hostChanged);
        mMetrics.registerGauges(gauges());
    }

    /**
     * Waits for the configuration, from the platform or from peers, before this host joins the
     * membership.
     *
     * <p>A member without configuration would become the owner of ledgers and refuse every grant
     * request; at each restart of a host, requests of the other hosts would fail for some 100 ms.
     *
     * @param timeoutMillis time in milliseconds after which the host joins without a configuration
     */
    void awaitConfiguration(long timeoutMillis) {
        ScheduledFuture<?> requests =
                mWorkers.scheduleWithFixedDelay(
                        CONFIGURATION_RETRY_MILLIS, this::requestConfiguration);
        Try.run(() -> mConfiguration.initialized().get(timeoutMillis, TimeUnit.MILLISECONDS));
        requests.cancel(false);
    }

    private void requestConfiguration() {
        mConfiguration.tick();
        mSettings
                .peers()
                .seeds()
                .forEach(
                        seed ->
                                mTransport
                                        .hello(seed.address(), seed.port(), HELLO_TIMEOUT_MILLIS)
                                        .thenAccept(
                                                found ->
                                                        found.ifPresent(
                                                                mConfiguration::requestAtStart)));
    }

    /** Advances membership, configuration and bookings; called at a short fixed interval. */
    void hostTick() {
        mHeartbeat.refresh(mBlackboard, mLedgers);
        mMembership.tick();
        mConfiguration.tick();
        mBookings.tick();
    }

    /**
     * Reconciles ledgers and engines immediately after the state of a host has changed.
     *
     * <p>Two seconds after a host failed, its attempts must no longer hold engine memory; waiting
     * for the next scheduled run would use up a quarter of that time.
     */
    private void hostChanged(HostRecord host) {
        HostRecord last = mLastRecords.put(host.incarnation().host(), host);
        boolean rejoined =
                last != null
                        && host.state() == HostState.ALIVE
                        && (last.state() == HostState.DEAD
                                || !last.incarnation().equals(host.incarnation()));
        if (rejoined) {
            // The previous connection to the host backs off for up to two seconds. Grant requests
            // to the ledgers that the host now owns would fail during that time, and requests be
            // refused.
            mNetwork.removeHost(host.incarnation().host());
        }
        mWorkers.execute(
                () -> {
                    mLedgers.tick();
                    mEngineMonitor.tick();
                });
    }

    /** Applies changes of the preset in force and of the membership to ledgers and clients. */
    void ledgerTick() {
        mLedgers.tick();
        Map<BackendId, BackendSpec> declared = mBlackboard.view().backends();
        mClients.retain(declared.values());
        mBlackboard.backends().write(table -> table.retain(declared));
    }

    /**
     * Returns the number of requests, calls and cancellations that must end before this host may
     * leave.
     */
    int pendingWork() {
        return mBlackboard.requests().read(RequestTable::inFlight)
                + mBookings.pending()
                + mRepeatable.pending()
                + mCanceller.pending();
    }

    int ownedLedgerCount() {
        return mLedgers.owned().size();
    }

    OperatorApi operatorApi() {
        return new OperatorApi(
                new PlatformAdmin(mStore, mCodec, mConfiguration),
                new FleetStatus(mBlackboard, mMembership, mHealth, mMetrics, mClock),
                mDecisionLog::explain);
    }

    Incarnation self() {
        return mSelf;
    }

    Clock clock() {
        return mClock;
    }

    Workers workers() {
        return mWorkers;
    }

    Blackboard blackboard() {
        return mBlackboard;
    }

    RouterMetrics metrics() {
        return mMetrics;
    }

    MembershipDriver membership() {
        return mMembership;
    }

    OrderDriver orders() {
        return mOrders;
    }

    EngineMonitor engineMonitor() {
        return mEngineMonitor;
    }

    PrefixMonitor prefixes() {
        return mPrefixes;
    }

    HostDiscovery hostDiscovery() {
        return mHostDiscovery;
    }

    ModelRequests requests() {
        return mRequests;
    }

    Bookings bookings() {
        return mBookings;
    }

    RepeatableCalls repeatable() {
        return mRepeatable;
    }

    PeerNetwork network() {
        return mNetwork;
    }

    @Override
    public void close() {
        mWorkers.close();
        mNetwork.close();
        mConnections.close();
        mStore.close();
        mHostList.close();
    }

    private HttpObjectStore store() {
        RouterSettings.Platform platform = mSettings.platform();
        return new HttpObjectStore(platform.address(), platform.port(), platform.timeoutMillis());
    }

    private HttpHostList hostList() {
        RouterSettings.Platform platform = mSettings.platform();
        return new HttpHostList(platform.address(), platform.port(), platform.timeoutMillis());
    }

    private MembershipDriver membership(FatalErrorHandler fatalErrorHandler) {
        MembershipSettings settings = MembershipSettings.DEFAULTS;
        Membership membership =
                new Membership(mDecisions.self(mSelf), settings, mHeartbeat, random(1));
        return new MembershipDriver(
                membership,
                settings,
                mTransport,
                mWorkers,
                mClock,
                mLog,
                newer ->
                        fatalErrorHandler.handle(
                                new IllegalStateException(
                                        "host " + newer.host() + " was restarted as " + newer)));
    }

    private ConfigurationDriver configuration() {
        return new ConfigurationDriver(
                mDecisions.self(mSelf),
                mStore,
                mCodec,
                mBlackboard,
                new ConfigurationDriver.Runtime(mWorkers, mClock, mLog, mHealth),
                mTransport::request,
                mMembership::alive,
                random(2));
    }

    private OrderDriver orderDriver() {
        return new OrderDriver(
                new OrderServices(
                        mSelf,
                        mBlackboard,
                        mLedgers,
                        mClients,
                        new FenceStore(mStore),
                        new SlotStore(mStore, mSelf, mMembership::standing),
                        mWorkers,
                        mClock,
                        mLog));
    }

    private HostEnvironment environment() {
        PlacementPolicy policy = mSettings.routing().policy();
        RequestPolicies policies =
                new RequestPolicies(
                        policy,
                        new Admission(policy, AdmissionSettings.DEFAULTS),
                        mRetries,
                        mPrefixes,
                        mAccounting,
                        DecisionSettings::oneWayLatencyMillis);
        return new HostEnvironment(
                mSelf,
                mSettings.host().failureDomain(),
                mBlackboard,
                policies,
                new BackendFailureReporter(mBlackboard, mMembership, mTransport, mClock, mLog),
                random(3));
    }

    private ModelRequests modelRequests() {
        RequestServices services =
                new RequestServices(
                        mClock,
                        mWorkers,
                        mBlackboard,
                        mClients,
                        mCanceller,
                        mLedgers,
                        mPrefixes,
                        mMetrics);
        return new ModelRequests(
                services, mEnvironment, mDecisions.requests(), mDecisionLog::record, mAccounting);
    }

    private BookingServices bookingServices(PlainBackendSelector selector) {
        return new BookingServices(
                mSelf,
                mClock,
                System::currentTimeMillis,
                mWorkers,
                mEnvironment::newAttempt,
                BookingServices.claims(
                        mStore,
                        mDecisions.claims(),
                        mWorkers,
                        mClock,
                        System::currentTimeMillis,
                        mHealth),
                selector,
                mPlainClient,
                new PeerClaimHolders(mMembership, mTransport, mDecisions.retentionMillis()),
                mMetrics,
                mLog,
                mDecisionLog::record);
    }

    private PeerNetwork peerNetwork() {
        PeerMessageDispatcher dispatcher =
                new PeerMessageDispatcher(
                        mMembership, mConfiguration, mLedgers, mBookings, mBlackboard, mClock);
        return new PeerNetwork(
                mMembership::self,
                dispatcher,
                PeerSettings.DEFAULT,
                mClock,
                new PeerMetrics(mMetrics, mLog));
    }

    private GaugeSources gauges() {
        return new GaugeSources(
                mLedgers::totalGrantCount,
                () -> mBlackboard.requests().read(RequestTable::inFlight),
                () -> mBlackboard.configuration().read(state -> state.inForceVersion()),
                () ->
                        (mClock.millis()
                                        - mBlackboard
                                                .configuration()
                                                .read(state -> state.confirmedAt()))
                                / MILLIS_PER_SECOND);
    }

    /** Returns a separate random generator for each use, seeded by host and incarnation. */
    private UniformRandomProvider random(long use) {
        long seed = mSelf.host().value().hashCode() * 31L + mSelf.number() * 7 + use;
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }
}
