package org.cyclamenpaddle.relay.quota;

import com.linecorp.armeria.common.CommonPools;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.CrashMessage;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.cyclamenpaddle.core.message.StoreAnswerRequest;
import org.cyclamenpaddle.core.message.StoreAnswerResponse;
import org.cyclamenpaddle.core.message.StreamNotice;
import org.cyclamenpaddle.core.message.StreamNoticeResponse;
import org.cyclamenpaddle.core.message.StreamRequest;
import org.cyclamenpaddle.core.message.StreamResponse;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.peer.net.PeerCounters;
import org.cyclamenpaddle.peer.net.PeerError;
import org.cyclamenpaddle.peer.net.PeerNetwork;
import org.cyclamenpaddle.peer.net.PeerSettings;
import org.cyclamenpaddle.relay.crash.StrikePeers;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.resume.StreamPeers;
import org.cyclamenpaddle.relay.settings.Endpoint;
import org.cyclamenpaddle.relay.store.StoreAnswers;
import org.cyclamenpaddle.relay.store.StorePeers;
import org.cyclamenpaddle.routing.limit.OwnerChoice;
import org.cyclamenpaddle.routing.limit.QuotaBounds;
import org.cyclamenpaddle.routing.limit.QuotaLimit;

/**
 * Controller that shares limits among the hosts, the quotas of teams and the limits of backend
 * servers: connects the hosts, reports this host's use of quotas at regular intervals, and lends
 * from what this host owns. The strikes of requests and the beginnings of streams use the same
 * connections.
 */
public final class QuotaController implements AutoCloseable {

    /**
     * Connections between hosts. Frames wait no longer than their senders. Failed attempts are
     * repeated after at most 400 ms, which is the longest pause of an owner without a connection;
     * with 2 s, an owner that had restarted stayed unreachable for that long.
     */
    private static final PeerSettings PEERS =
            new PeerSettings(1, 500, 50, 400, 2_000, 30_000, 64, 200, 2_048);

    /** Number of hosts that are asked whether the store has answered them. */
    private static final int STORE_WITNESSES = 4;

    private final PeerAddress mConfigured;
    private final HostRecord mSelf;
    private final PeerNetwork mNetwork;
    private final QuotaClient mClient;
    private final PermitClient mPermits;
    private final Clock mClock;
    private final ScheduledExecutorService mExecutor;
    private final Supplier<Set<TeamName>> mLimited;
    private final StreamPeers.Listener mStreams;
    private final StreamOwners mStreamOwners;
    private final StoreAnswers mStoreAnswers;
    private volatile QuotaMembers mMembers;

    /**
     * Creates a controller; {@link #start} starts it.
     *
     * @param self this host, with the endpoint of its settings
     * @param bounds bounds of the deployment
     * @param limits limits in force; empty for a team without one
     * @param strikes receives what other hosts send about crashing requests
     * @param streams receives what other hosts send about streams
     * @param storeAnswers answers of the store to this host, for others that got none
     * @param limited teams that have a quota in the configuration in force; this host reports on
     *     their shards only
     * @param counters counters of frames and connections
     * @param log event log
     * @param executor runs the regular reports
     * @param clock steady clock
     */
    public QuotaController(
            PeerAddress self,
            QuotaBounds bounds,
            Function<TeamName, Optional<QuotaLimit>> limits,
            Supplier<Set<TeamName>> limited,
            Consumer<CrashMessage> strikes,
            StreamPeers.Listener streams,
            StoreAnswers storeAnswers,
            PeerCounters counters,
            RelayEventLog log,
            ScheduledExecutorService executor,
            Clock clock) {
        mConfigured = self;
        mExecutor = executor;
        mLimited = limited;
        mStreams = streams;
        mStoreAnswers = storeAnswers;
        mClock = clock;
        mMembers = QuotaMembers.unknown(self);
        // Incarnations are compared for the same host only; none is compared here.
        mSelf =
                new HostRecord(
                        new Incarnation(self.host(), System.currentTimeMillis()),
                        self.domain(),
                        self.endpoint().address(),
                        self.endpoint().port(),
                        0,
                        HostState.ALIVE);
        QuotaLender lender = new QuotaLender(bounds, () -> mMembers, limits, clock);
        PermitLender permits = new PermitLender(() -> mMembers, clock);
        mNetwork =
                PeerNetwork.onSharedLoops(
                        () -> mSelf,
                        (from, message) -> respond(lender, permits, strikes, from, message),
                        PEERS,
                        clock,
                        counters,
                        CommonPools.workerGroup());
        mClient =
                new QuotaClient(
                        () -> mMembers,
                        lender,
                        this::send,
                        (team, cost) -> enters(bounds, limits.apply(team), cost),
                        this::schedule,
                        log,
                        clock);
        mPermits = new PermitClient(() -> mMembers, permits, this::send, clock);
        mStreamOwners = new StreamOwners(() -> mMembers, new PeerStreams(), streams, log, clock);
    }

    /**
     * Starts to listen and to report.
     *
     * @return the address under which other hosts reach this one, or the failure
     */
    public Try<PeerAddress> start() {
        Endpoint configured = mConfigured.endpoint();
        return mNetwork.start(configured.address(), configured.port())
                .map(
                        port -> {
                            scheduleReports();
                            scheduleProbes();
                            return new PeerAddress(
                                    mConfigured.host(),
                                    mConfigured.domain(),
                                    new Endpoint(configured.address(), port));
                        });
    }

    /** Returns the admission of requests. */
    public TeamQuotas quotas() {
        return mClient;
    }

    /** Returns the permits for calls to backend servers with a limit. */
    public Permits permits() {
        return mPermits;
    }

    /** Returns the way to send strikes to other hosts. */
    public StrikePeers strikePeers() {
        return new StrikePeers() {
            @Override
            public int hostCount() {
                return mMembers.hostCount();
            }

            @Override
            public boolean isOwner(String subject) {
                return mMembers.owners(subject).contains(mMembers.self());
            }

            @Override
            public void sendToOwners(String subject, CrashMessage message) {
                QuotaMembers members = mMembers;
                send(members, members.owners(subject), message);
            }

            @Override
            public void sendToAll(CrashMessage message) {
                QuotaMembers members = mMembers;
                send(members, members.hosts(), message);
            }
        };
    }

    /** Returns the way to exchange the beginnings of streams with other hosts. */
    public StreamPeers streamPeers() {
        return mStreamOwners;
    }

    /** Returns the way to ask other hosts whether the store has answered them. */
    public StorePeers storePeers() {
        return (fromMillis, toMillis) -> {
            QuotaMembers members = mMembers;
            List<HostId> others =
                    new ArrayList<>(
                            members.hosts().stream()
                                    .filter(host -> !host.equals(members.self()))
                                    .filter(mStreamOwners::confirms)
                                    .toList());
            Collections.shuffle(others, ThreadLocalRandom.current());
            StoreAnswerRequest request = new StoreAnswerRequest(fromMillis, toMillis);
            return others.stream()
                    .limit(STORE_WITNESSES)
                    .flatMap(host -> members.find(host).stream())
                    .map(host -> ask(host, request))
                    .reduce(
                            CompletableFuture.completedFuture(false),
                            (one, other) -> one.thenCombine(other, Boolean::logicalOr));
        };
    }

    private CompletableFuture<Boolean> ask(HostRecord to, StoreAnswerRequest request) {
        return request(to, request, QuotaTiming.TIMEOUT_MILLIS, StoreAnswerResponse.class)
                .thenApply(
                        response -> response.map(StoreAnswerResponse::answered).getOrElse(false));
    }

    private void send(QuotaMembers members, Collection<HostId> hosts, CrashMessage message) {
        hosts.stream()
                .filter(host -> !host.equals(members.self()))
                .flatMap(host -> members.find(host).stream())
                .forEach(host -> mNetwork.send(host, message));
    }

    /** Replaces the hosts that share limits. */
    public void updateHosts(Collection<PeerAddress> listed) {
        QuotaMembers earlier = mMembers;
        QuotaMembers updated = earlier.updated(mConfigured, listed, mClock.millis());
        updated.goneSince(earlier).forEach(mNetwork::removeHost);
        mMembers = updated;
        if (!earlier.counted()) {
            // Owners reserve a part of each limit for hosts that have not reported yet.
            reportDue();
        }
        if (!updated.hosts().equals(earlier.hosts())) {
            mStreamOwners.updateMembers(earlier, updated);
        }
    }

    @Override
    public void close() {
        mNetwork.close();
    }

    private void scheduleReports() {
        long millis = QuotaTiming.reportMillis(mMembers.hostCount());
        schedule(
                () -> {
                    reportDue();
                    scheduleReports();
                },
                millis);
    }

    private void scheduleProbes() {
        schedule(
                () -> {
                    mStreamOwners.probe();
                    scheduleProbes();
                },
                StreamOwners.PROBE_INTERVAL_MILLIS);
    }

    private void reportDue() {
        mClient.reportDue(mLimited.get());
    }

    private void schedule(Runnable task, long delayMillis) {
        try {
            mExecutor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException stopping) {
            // Requests that still wait end with their connections.
        }
    }

    private boolean enters(QuotaBounds bounds, Optional<QuotaLimit> limit, long cost) {
        int hosts = mMembers.hostCount();
        return limit.filter(
                        known ->
                                ThreadLocalRandom.current().nextDouble()
                                        < bounds.entryProbability(known, cost, hosts))
                .isPresent();
    }

    private CompletableFuture<Either<OwnerChoice.FailureKind, QuotaResponse>> send(
            HostRecord to, QuotaRequest request, long timeoutMillis) {
        return request(to, request, timeoutMillis, QuotaResponse.class);
    }

    private CompletableFuture<Optional<PermitResponse>> send(HostRecord to, PermitRequest request) {
        return request(to, request, QuotaTiming.TIMEOUT_MILLIS, PermitResponse.class)
                .thenApply(Either::toJavaOptional);
    }

    private final class PeerStreams implements StreamTransport {

        @Override
        public CompletableFuture<Either<OwnerChoice.FailureKind, StreamNoticeResponse>> send(
                HostRecord to, StreamNotice notice) {
            return request(to, notice, QuotaTiming.TIMEOUT_MILLIS, StreamNoticeResponse.class);
        }

        @Override
        public CompletableFuture<Either<OwnerChoice.FailureKind, StreamResponse>> ask(
                HostRecord to, StreamRequest request) {
            return request(to, request, QuotaTiming.TIMEOUT_MILLIS, StreamResponse.class);
        }
    }

    private <R extends PeerMessage> CompletableFuture<Either<OwnerChoice.FailureKind, R>> request(
            HostRecord to, PeerMessage request, long timeoutMillis, Class<R> response) {
        return mNetwork.request(to, request, timeoutMillis)
                .thenApply(
                        result ->
                                result.mapLeft(QuotaController::failureKind)
                                        .filterOrElse(
                                                response::isInstance,
                                                other -> OwnerChoice.FailureKind.NO_RESPONSE)
                                        .map(response::cast));
    }

    private static OwnerChoice.FailureKind failureKind(PeerError error) {
        return switch (error) {
            case UNREACHABLE, CONNECTION_LOST -> OwnerChoice.FailureKind.NO_CONNECTION;
            case TIMED_OUT, QUEUE_FULL, TOO_LONG, CLOSED -> OwnerChoice.FailureKind.NO_RESPONSE;
        };
    }

    private CompletableFuture<Optional<PeerMessage>> respond(
            QuotaLender lender,
            PermitLender permits,
            Consumer<CrashMessage> strikes,
            HostRecord from,
            PeerMessage message) {
        Optional<? extends PeerMessage> response = Optional.empty();
        if (message instanceof QuotaRequest request) {
            response = lender.lend(from.incarnation().host(), request);
        } else if (message instanceof PermitRequest request) {
            response = Optional.of(permits.lend(request));
        } else if (message instanceof CrashMessage crash) {
            strikes.accept(crash);
        } else if (message instanceof StreamNotice notice) {
            mStreams.reported(notice.beginnings());
            mStreamOwners.remember(notice.beginnings());
            response = Optional.of(new StreamNoticeResponse(mSelf.incarnation().number()));
        } else if (message instanceof StreamRequest request) {
            response = Optional.of(new StreamResponse(mStreams.known(request.stream())));
        } else if (message instanceof StoreAnswerRequest request) {
            long now = mClock.millis();
            response =
                    Optional.of(
                            new StoreAnswerResponse(
                                    mStoreAnswers.answered(
                                            now - request.fromMillis(), now - request.toMillis())));
        }
        return CompletableFuture.completedFuture(response.map(PeerMessage.class::cast));
    }
}
