package org.cyclamenpaddle.relay.backend;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.routing.silence.OtherServers;
import org.cyclamenpaddle.routing.silence.ServerActivity;

/**
 * Registry of the backend servers: their entries, this host's in-flight work and results per
 * server, and the selection among them.
 *
 * <p>Thread-safe. Selecting a server and recording the work on it is one atomic step, so that two
 * concurrent requests cannot both claim the same last free capacity.
 */
public final class BackendRegistry {

    private final FailureDomain mOwnDomain;
    private final CostSettings mCosts;
    private final DoubleSupplier mRandom;
    private final BackendDirectives mDirectives;
    private volatile Consumer<Backend> mSendFailed = backend -> {};
    private final Table<RegistryState> mTable =
            new Table<>(TableOrder.BACKENDS, new RegistryState());

    /**
     * Creates an empty registry.
     *
     * @param ownDomain failure domain of this host
     * @param costs weights of the cost comparison
     * @param random uniformly distributed values from 0 to 1, used to break ties
     */
    public BackendRegistry(FailureDomain ownDomain, CostSettings costs, DoubleSupplier random) {
        mOwnDomain = ownDomain;
        mCosts = costs;
        mRandom = random;
        mDirectives = new BackendDirectives(mTable, random);
    }

    /** Sets what is notified of each send that did not reach its server or gets no response. */
    public void onSendFailed(Consumer<Backend> listener) {
        mSendFailed = listener;
    }

    /** Returns what the servers ask of their callers. */
    public BackendDirectives directives() {
        return mDirectives;
    }

    /** Replaces all entries with a complete listing; see {@link BackendDirectory#applyListing}. */
    public void applyListing(Map<BackendId, Backend> listed, long nowMillis) {
        List<Backend> unconfirmed =
                mTable.read(
                        state -> {
                            state.directory().applyListing(listed, nowMillis);
                            state.removeUnused(nowMillis);
                            return listed.keySet().stream()
                                    .flatMap(id -> state.inheritLeaving(id, nowMillis).stream())
                                    .toList();
                        });
        unconfirmed.forEach(mDirectives::notifyUnconfirmed);
    }

    /** Applies a change of one entry; see {@link BackendDirectory#applyChange}. */
    public void applyChange(BackendId id, Optional<Backend> entry, long nowMillis) {
        Optional<Backend> unconfirmed =
                mTable.read(
                        state -> {
                            state.directory().applyChange(id, entry, nowMillis);
                            return state.inheritLeaving(id, nowMillis);
                        });
        unconfirmed.ifPresent(mDirectives::notifyUnconfirmed);
    }

    /** Records that calls to the store have begun to fail. */
    public void recordStoreOutage(long nowMillis) {
        mTable.write(state -> state.directory().recordOutage(nowMillis));
    }

    /** Records that calls to the store succeed again; see {@link BackendDirectory#recordReturn}. */
    public void recordStoreReturn(long nowMillis) {
        mTable.write(state -> state.directory().recordReturn(nowMillis));
    }

    /** Records that only this host had lost the store. */
    public void recordOwnOutage() {
        mTable.write(state -> state.directory().recordOwnOutage());
    }

    /** Returns the servers of a service that are not about to shut down. */
    public List<Backend> usable(ServiceName service) {
        return mTable.read(state -> state.staying(service).toList());
    }

    /** Returns the servers of each service that are not about to shut down. */
    public Map<ServiceName, List<Backend>> usableByService() {
        return mTable.read(
                state -> state.staying().collect(Collectors.groupingBy(Backend::service)));
    }

    /**
     * Records that a stream waits for a server of its version. Requests that other servers can take
     * leave those to it, until {@link #recordWaitEnded}.
     */
    public void recordWaiting(BackendQuery query) {
        mTable.write(state -> state.waitingStreams().add(query));
    }

    /** Records that a stream waits no longer. */
    public void recordWaitEnded(BackendQuery query) {
        mTable.write(state -> state.waitingStreams().remove(query));
    }

    /** Returns whether a server of a service may run a request once it can take one. */
    public boolean mayServe(BackendQuery query, long nowMillis) {
        return mTable.read(
                state ->
                        Stream.concat(
                                        state.staying(query.service()),
                                        state.directory().lapsed(query.service(), nowMillis))
                                .filter(query::matches)
                                .anyMatch(backend -> backend.stage().completesRequests()));
    }

    /** Ends the ejections of the servers of a service to which this host had lost its paths. */
    public void recordReachable(ServiceName service) {
        mTable.write(
                state ->
                        state.staying(service)
                                .forEach(
                                        backend -> {
                                            state.stateOf(backend).health().recordAlive();
                                            state.connectivity(backend).recordResponse();
                                        }));
    }

    /** Returns whether a server has announced its shutdown, in the store or in a response. */
    public boolean isLeaving(Backend backend) {
        return mTable.read(
                state ->
                        state.stateOf(backend).directives().leaving()
                                || state.directory()
                                        .find(backend.id())
                                        .filter(backend::sameIncarnation)
                                        .map(Backend::draining)
                                        .orElse(backend.draining()));
    }

    /** Returns whether another incarnation is listed under the id or at the address of a server. */
    public boolean isReplaced(Backend backend) {
        return mTable.read(state -> state.directory().isReplaced(backend));
    }

    /** Returns the number of servers in the store. */
    public int size() {
        return mTable.read(state -> state.directory().size());
    }

    /**
     * Selects the server that runs a request and records its work there.
     *
     * @param query what the request needs
     * @param nowMillis current time of the steady clock
     * @return the server; empty if no server of the service can accept the request now
     */
    public Optional<Backend> select(BackendQuery query, long nowMillis) {
        return mTable.read(
                state -> {
                    List<Backend> engines =
                            candidates(state, query, nowMillis)
                                    .filter(backend -> backend.stage().completesRequests())
                                    .filter(backend -> !state.stateOf(backend).isFull(nowMillis))
                                    .filter(
                                            backend ->
                                                    !state.stateOf(backend)
                                                            .isOutdated(backend, nowMillis))
                                    .toList();
                    Optional<Backend> chosen =
                            cheapest(
                                    state.waitingStreams().yielding(query, engines),
                                    backend -> requestCost(state, backend, nowMillis));
                    chosen.ifPresent(
                            backend -> state.recordStart(backend, query.size(), nowMillis));
                    return chosen;
                });
    }

    /**
     * Selects a prefill engine for a request that holds a reservation at a decode engine, if remote
     * prefill with a KV transfer costs less than local prefill at the decode engine, and records
     * the work on it.
     *
     * @param decodeEngine decode engine of the request
     * @param size size of its work
     * @param nowMillis current time of the steady clock
     * @return the prefill engine; empty if the decode engine should prefill locally
     */
    public Optional<Backend> selectPrefillEngine(
            Backend decodeEngine, WorkSize size, long nowMillis) {
        if (decodeEngine.stage() != BackendStage.DECODE || size.promptTokens() == 0) {
            return Optional.empty();
        }
        return mTable.read(
                state -> {
                    Optional<Backend> chosen =
                            cheapestPrefillEngine(state, decodeEngine, size, nowMillis);
                    chosen.ifPresent(
                            prefillEngine -> {
                                state.recordStart(prefillEngine, size, nowMillis);
                                // Prefilled remotely, it delays no other prompt at the decode
                                // engine.
                                state.stateOf(decodeEngine).inFlightWork().recordPrefillDone(size);
                            });
                    return chosen;
                });
    }

    /** Records the work of a request again on a server to which it is sent once more. */
    public void recordResend(Backend backend, WorkSize size, long nowMillis) {
        mTable.write(state -> state.stateOf(backend).recordStart(size, nowMillis));
    }

    /** Records that a prefill engine lost the result of a prefill. */
    public void recordPrefillResultLost(Backend prefillEngine, long nowMillis) {
        mTable.write(state -> state.stateOf(prefillEngine).health().recordSuspicion(nowMillis));
    }

    /** Records that an apparently failed server has responded. */
    public void recordAlive(Backend backend) {
        mTable.write(
                state -> {
                    state.stateOf(backend).health().recordAlive();
                    state.connectivity(backend).recordResponse();
                });
    }

    /** Records that a server currently has no capacity for a request of typical size. */
    public void recordFull(Backend backend, long nowMillis) {
        mTable.write(
                state -> {
                    state.stateOf(backend).recordFull(nowMillis);
                    state.connectivity(backend).recordResponse();
                });
    }

    /**
     * Records that a server rejected a request for which it had granted a reservation.
     *
     * <p>Safeguard: an engine that changes its stage continues to grant reservations for seconds,
     * but rejects every request that follows, and the prefill of that request is wasted. The server
     * is excluded until its entry changes, or for a few seconds.
     */
    public void recordOutdated(Backend backend, long nowMillis) {
        mTable.write(state -> state.stateOf(backend).recordOutdated(backend, nowMillis));
    }

    /**
     * Returns the prefill throughput of a service's prefill engines, in prompt tokens per
     * millisecond.
     */
    public double prefillTokensPerMilli(ServiceName service) {
        return mTable.read(state -> state.throughput(service).tokensPerMilli());
    }

    /** Returns whether a server's report should be fetched; if so, marks the fetch as started. */
    public boolean reportDue(Backend backend, long nowMillis) {
        return mTable.read(state -> state.stateOf(backend).reportDue(nowMillis));
    }

    /** Stores a server's report. */
    public void recordReport(Backend backend, EngineReport report, long nowMillis) {
        mTable.write(state -> state.stateOf(backend).recordReport(report, nowMillis));
    }

    /** Returns a server's last report; empty if there is none or it is too old. */
    public Optional<TimedReport> report(Backend backend, long nowMillis) {
        return mTable.read(state -> state.stateOf(backend).report(nowMillis));
    }

    /** Records that a server has completed the prefill of a prompt. */
    public void recordPrefillDone(Backend backend, WorkSize size) {
        mTable.write(state -> state.stateOf(backend).inFlightWork().recordPrefillDone(size));
    }

    /**
     * Records the arrival of the first byte of a response.
     *
     * @param backend the server
     * @param size size of the work
     * @param waitedMillis time since the request was sent, in milliseconds
     * @param nowMillis current time of the steady clock
     */
    public void recordFirstByte(Backend backend, WorkSize size, long waitedMillis, long nowMillis) {
        mTable.write(
                state -> {
                    if (backend.stage() == BackendStage.PREFILL) {
                        state.throughput(backend.service()).add(size.promptTokens(), waitedMillis);
                    }
                    double expectedMillis = prefillMillis(state, backend, size.promptTokens());
                    state.stateOf(backend)
                            .recordExcessWait(waitedMillis - expectedMillis, nowMillis);
                    state.connectivity(backend).recordResponse();
                });
    }

    /** Returns when this host last received anything from a server. */
    public ServerVoice voice(Backend backend) {
        return mTable.read(state -> state.stateOf(backend).voice());
    }

    /** Records that something was received from a server. */
    public void recordHeard(Backend backend, long nowMillis) {
        if (voice(backend).heard(nowMillis)) {
            recordAlive(backend);
        }
    }

    /**
     * Records that a server has sent nothing for a request in time, and that the request goes on
     * there. It has no effect if the server has sent something for another one meanwhile.
     *
     * @param limitMillis time without anything from the server from which it counts as silent
     * @return whether that ejected the server
     */
    public boolean recordSilence(Backend backend, long limitMillis, long nowMillis) {
        mSendFailed.accept(backend);
        return mTable.read(
                state -> {
                    BackendState server = state.stateOf(backend);
                    if (!server.activity(nowMillis).isSilent(limitMillis)) {
                        return false;
                    }
                    server.voice().suspect();
                    return server.health().recordSilence(nowMillis);
                });
    }

    /** Returns the state of the servers that could run a request. */
    public OtherServers otherServers(BackendQuery query, long limitMillis, long nowMillis) {
        return mTable.read(
                state ->
                        OtherServers.of(
                                matching(state, query)
                                        .map(server -> state.stateOf(server).activity(nowMillis))
                                        .toList(),
                                limitMillis));
    }

    /** Returns the servers of a service that have left work unanswered for a time. */
    public Set<BackendId> silentServers(ServiceName service, long limitMillis, long nowMillis) {
        return servers(service, activity -> activity.isSilent(limitMillis), nowMillis);
    }

    /** Returns the servers of a service from which nothing was received for a time. */
    public Set<BackendId> unheardServers(ServiceName service, long limitMillis, long nowMillis) {
        return servers(service, activity -> !activity.isHeard(limitMillis), nowMillis);
    }

    private Set<BackendId> servers(
            ServiceName service, Predicate<ServerActivity> filter, long nowMillis) {
        return mTable.read(
                state ->
                        state.staying(service)
                                .filter(
                                        server ->
                                                filter.test(
                                                        state.stateOf(server).activity(nowMillis)))
                                .map(Backend::id)
                                .collect(Collectors.toSet()));
    }

    /**
     * Returns the silent servers that could run a request and at which a call of this host is
     * pending, which will show when they respond again.
     */
    public Set<BackendId> awaitedServers(BackendQuery query) {
        return mTable.read(
                state ->
                        matching(state, query)
                                .filter(server -> state.stateOf(server).voice().awaitsResponse())
                                .map(Backend::id)
                                .collect(Collectors.toSet()));
    }

    /**
     * Returns the server that could run a request and from which nothing was received for the
     * longest time.
     */
    public Optional<Backend> longestSilent(BackendQuery query, long nowMillis) {
        return mTable.read(
                state ->
                        matching(state, query)
                                .max(
                                        Comparator.comparingLong(
                                                server ->
                                                        state.stateOf(server)
                                                                .activity(nowMillis)
                                                                .quietMillis())));
    }

    private static Stream<Backend> matching(RegistryState state, BackendQuery query) {
        return state.staying(query.service())
                .filter(query::matches)
                .filter(server -> server.stage().completesRequests());
    }

    /**
     * Removes the work of a completed send from a server and records its outcome.
     *
     * @param backend the server
     * @param size size of the work
     * @param prefillDone whether {@link #recordPrefillDone} was called for it
     * @param outcome outcome of the send
     * @param nowMillis current time of the steady clock
     * @return whether the outcome ejected the server
     */
    public boolean recordOutcome(
            Backend backend,
            WorkSize size,
            boolean prefillDone,
            SendOutcome outcome,
            long nowMillis) {
        if (outcome.serverSuspect() || outcome == SendOutcome.SILENT) {
            mSendFailed.accept(backend);
        }
        return mTable.read(
                state -> {
                    BackendState backendState = state.stateOf(backend);
                    backendState.inFlightWork().recordEnd(size, prefillDone);
                    if (outcome == SendOutcome.MISDIRECTED) {
                        backendState.recordOutdated(backend, nowMillis);
                    }
                    state.connectivity(backend).recordOutcome(backend.id(), outcome, nowMillis);
                    return backendState.health().recordOutcome(outcome, nowMillis);
                });
    }

    private Stream<Backend> candidates(RegistryState state, BackendQuery query, long nowMillis) {
        List<Backend> usable =
                permitted(state, state.directory().usable(query.service()), query, nowMillis);
        List<Backend> admitted =
                usable.stream().filter(backend -> state.admits(backend, nowMillis)).toList();
        boolean canServe =
                admitted.stream().anyMatch(backend -> backend.stage().completesRequests());
        if (canServe) {
            return admitted.stream();
        }
        // Never eject all servers of a service: an apparent failure of all of them is more often a
        // fault of this host, and the rejected request would have been served.
        return usable.stream().anyMatch(backend -> backend.stage().completesRequests())
                ? usable.stream()
                : permitted(
                        state,
                        state.directory().lapsed(query.service(), nowMillis),
                        query,
                        nowMillis)
                        .stream();
    }

    private static List<Backend> permitted(
            RegistryState state, Stream<Backend> backends, BackendQuery query, long nowMillis) {
        return backends.filter(query::matches)
                .filter(backend -> state.permits(backend, query.size(), nowMillis))
                .toList();
    }

    private Optional<Backend> cheapest(List<Backend> backends, ToDoubleFunction<Backend> cost) {
        Map<Backend, Double> costs = new HashMap<>();
        backends.forEach(
                backend -> costs.put(backend, cost.applyAsDouble(backend) + mRandom.getAsDouble()));
        return backends.stream().min(Comparator.comparing(costs::get));
    }

    private double requestCost(RegistryState state, Backend backend, long nowMillis) {
        BackendState backendState = state.stateOf(backend);
        return prefillMillis(state, backend, backendState.inFlightWork().pendingPromptTokens())
                + backendState.inFlightWork().requests() * mCosts.requestMillis()
                + (backend.domain().equals(mOwnDomain) ? 0 : mCosts.crossDomainMillis())
                + backendState.health().failureRate(nowMillis) * mCosts.failureMillis()
                + backendState.fullness(nowMillis) * mCosts.fullMillis()
                + backendState.excessWaitMillis(nowMillis);
    }

    private double prefillMillis(RegistryState state, Backend backend, long promptTokens) {
        double share = backend.stage() == BackendStage.PREFILL ? 1 : mCosts.localPrefillShare();
        return promptTokens / (state.throughput(backend.service()).tokensPerMilli() * share);
    }

    private Optional<Backend> cheapestPrefillEngine(
            RegistryState state, Backend decodeEngine, WorkSize size, long nowMillis) {
        List<Backend> prefillEngines =
                state.directory()
                        .usable(decodeEngine.service())
                        .filter(backend -> backend.stage() == BackendStage.PREFILL)
                        .filter(backend -> state.admits(backend, nowMillis))
                        .filter(backend -> state.permits(backend, size, nowMillis))
                        .filter(
                                prefillEngine ->
                                        !state.stateOf(prefillEngine)
                                                .isOutdated(prefillEngine, nowMillis))
                        .toList();
        BackendState backendState = state.stateOf(decodeEngine);
        // Local prefill delays every generation that runs on the decode engine.
        double localCost =
                prefillMillis(
                                        state,
                                        decodeEngine,
                                        backendState.inFlightWork().pendingPromptTokens())
                                * (1 + backendState.runningGenerations(nowMillis))
                        + backendState.excessWaitMillis(nowMillis);
        return cheapest(
                        prefillEngines,
                        prefillEngine ->
                                prefillCost(state, prefillEngine, decodeEngine, size, nowMillis))
                .filter(
                        prefillEngine ->
                                prefillCost(state, prefillEngine, decodeEngine, size, nowMillis)
                                        < localCost);
    }

    private double prefillCost(
            RegistryState state,
            Backend prefillEngine,
            Backend decodeEngine,
            WorkSize size,
            long nowMillis) {
        BackendState backendState = state.stateOf(prefillEngine);
        return prefillMillis(
                        state,
                        prefillEngine,
                        backendState.inFlightWork().pendingPromptTokens() + size.promptTokens())
                + mCosts.kvTransferMillis()
                + (prefillEngine.domain().equals(decodeEngine.domain())
                        ? 0
                        : mCosts.crossDomainMillis())
                + backendState.health().failureRate(nowMillis) * mCosts.failureMillis()
                + backendState.excessWaitMillis(nowMillis);
    }
}
