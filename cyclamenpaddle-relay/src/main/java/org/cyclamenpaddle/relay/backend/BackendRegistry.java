package org.cyclamenpaddle.relay.backend;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;

/**
 * Blackboard of the backend servers: entries, own open work, outcomes, and the choice among them.
 *
 * <p>Safe for use by many threads; choosing a server and noting the work on it is one step, so that
 * two requests never both see the same last free place.
 */
public final class BackendRegistry {

    private static final class State {
        private final BackendDirectory mDirectory = new BackendDirectory();
        private final Map<BackendId, BackendState> mStates = new HashMap<>();

        private final Map<FailureDomain, DomainConnectivity> mReach = new HashMap<>();
        private final Map<ServiceName, PrefillThroughput> mSpeeds = new HashMap<>();

        private PrefillThroughput speed(ServiceName service) {
            return mSpeeds.computeIfAbsent(service, any -> new PrefillThroughput());
        }

        private DomainConnectivity reach(Backend backend) {
            return mReach.computeIfAbsent(backend.domain(), domain -> new DomainConnectivity());
        }

        private boolean admits(Backend backend, long nowMillis) {
            return of(backend).health().admits(nowMillis) && reach(backend).admits(nowMillis);
        }

        private void started(Backend backend, WorkSize size, long nowMillis) {
            of(backend).started(size);
            reach(backend).sent(nowMillis);
        }

        private BackendState of(Backend backend) {
            return mStates.compute(
                    backend.id(),
                    (id, old) ->
                            // A server born anew holds nothing of before: its open work, its
                            // failures and its waits are those of another life.
                            old == null || old.bornMillis() != backend.startedMillis()
                                    ? new BackendState(backend.startedMillis())
                                    : old);
        }
    }

    private final FailureDomain mOwnDomain;
    private final CostSettings mCosts;
    private final DoubleSupplier mRandom;
    private final Table<State> mTable = new Table<>(TableOrder.BACKENDS, new State());

    /**
     * Creates an empty board.
     *
     * @param ownDomain failure domain of this host
     * @param costs weights of the comparison
     * @param random even draws from 0 to 1, to break ties
     */
    public BackendRegistry(FailureDomain ownDomain, CostSettings costs, DoubleSupplier random) {
        mOwnDomain = ownDomain;
        mCosts = costs;
        mRandom = random;
    }

    /** Takes in a whole listing; see {@link BackendDirectory#onListing}. */
    public void applyListing(Map<BackendId, Backend> listed, long nowMillis) {
        mTable.write(
                state -> {
                    state.mDirectory.listed(listed, nowMillis);
                    state.mStates.keySet().removeIf(id -> unused(state, id));
                });
    }

    /** Takes in a changed entry; see {@link BackendDirectory#onChange}. */
    public void applyChange(BackendId id, Optional<Backend> entry, long nowMillis) {
        mTable.write(state -> state.mDirectory.changed(id, entry, nowMillis));
    }

    /** Returns the servers of a service that may be given new work. */
    public List<Backend> usable(ServiceName service) {
        return mTable.read(state -> state.mDirectory.usable(service).toList());
    }

    /** Returns the number of servers that the store names. */
    public int size() {
        return mTable.read(state -> state.mDirectory.size());
    }

    /**
     * Chooses the server that runs a request and notes its work there.
     *
     * @param service its service
     * @param size its work
     * @param avoid servers that were already tried
     * @param nowMillis reading of the clock
     * @return empty if the service has no server that could take it now
     */
    public Optional<Backend> select(
            ServiceName service, WorkSize size, Set<BackendId> avoid, long nowMillis) {
        return mTable.read(
                state -> {
                    List<Backend> runners =
                            candidates(state, service, avoid, nowMillis)
                                    .filter(backend -> backend.stage().completesRequests())
                                    .filter(backend -> !state.of(backend).isFull(nowMillis))
                                    .filter(
                                            runner ->
                                                    !state.of(runner).isOutdated(runner, nowMillis))
                                    .toList();
                    Optional<Backend> chosen =
                            best(runners, runner -> runCost(state, runner, nowMillis));
                    chosen.ifPresent(runner -> state.started(runner, size, nowMillis));
                    return chosen;
                });
    }

    /**
     * Chooses a prefill engine for a request that has a place at a decode engine, where reading
     * there and handing over beats reading in place, and notes the work on it.
     *
     * @param runner decode engine of the request
     * @param size its work
     * @param nowMillis reading of the clock
     */
    public Optional<Backend> selectPrefillEngine(Backend runner, WorkSize size, long nowMillis) {
        if (runner.stage() != BackendStage.DECODE || size.promptTokens() == 0) {
            return Optional.empty();
        }
        return mTable.read(
                state -> {
                    Optional<Backend> chosen = cheapestReader(state, runner, size, nowMillis);
                    chosen.ifPresent(
                            reader -> {
                                state.started(reader, size, nowMillis);
                                // Read elsewhere, it keeps no other prompt waiting at the runner.
                                state.of(runner).open().promptRead(size);
                            });
                    return chosen;
                });
    }

    /** Notes the work of a request once more on a server that it is sent to again. */
    public void recordResend(Backend backend, WorkSize size) {
        mTable.write(state -> state.of(backend).started(size));
    }

    /** Notes that a prefill engine did not keep what it had read. */
    public void recordPrefillResultLost(Backend reader, long nowMillis) {
        mTable.write(state -> state.of(reader).health().suspect(nowMillis));
    }

    /** Notes that a server that looked dead has answered. */
    public void recordAlive(Backend backend) {
        mTable.write(
                state -> {
                    state.of(backend).health().alive();
                    state.reach(backend).answered();
                });
    }

    /** Notes that a server has no room for a request of usual size at this moment. */
    public void recordFull(Backend backend, long nowMillis) {
        mTable.write(
                state -> {
                    state.of(backend).full(nowMillis);
                    state.reach(backend).answered();
                });
    }

    /**
     * Notes that a server turned a request away for which it had kept a place.
     *
     * <p>Safeguard: an engine that changes its stage goes on keeping places for seconds and turns
     * away each request that follows, whose prompt has been read for nothing. It is left out until
     * its entry changes, or for some seconds.
     */
    public void recordOutdated(Backend backend, long nowMillis) {
        mTable.write(state -> state.of(backend).outdated(backend, nowMillis));
    }

    /** Returns the prompt tokens that a service's prefill engines read in a millisecond. */
    public double prefillTokensPerMilli(ServiceName service) {
        return mTable.read(state -> state.speed(service).tokensPerMilli());
    }

    /** Returns whether a server's report should be read again; if so it counts as being read. */
    public boolean reportDue(Backend backend, long nowMillis) {
        return mTable.read(state -> state.of(backend).reportDue(nowMillis));
    }

    /** Takes in a server's report. */
    public void recordReport(Backend backend, EngineReport report, long nowMillis) {
        mTable.write(state -> state.of(backend).reported(report, nowMillis));
    }

    /** Returns a server's last report; empty if there is none of late. */
    public Optional<TimedReport> report(Backend backend, long nowMillis) {
        return mTable.read(state -> state.of(backend).report(nowMillis));
    }

    /** Notes that a server has read a prompt. */
    public void recordPrefillDone(Backend backend, WorkSize size) {
        mTable.write(state -> state.of(backend).open().promptRead(size));
    }

    /**
     * Notes when the first byte of an answer came.
     *
     * @param backend the server
     * @param size the work
     * @param waitedMillis time since the send
     * @param nowMillis reading of the clock
     */
    public void recordFirstByte(Backend backend, WorkSize size, long waitedMillis, long nowMillis) {
        mTable.write(
                state -> {
                    if (backend.stage() == BackendStage.PREFILL) {
                        state.speed(backend.service()).read(size.promptTokens(), waitedMillis);
                    }
                    double explained = readMillis(state, backend, size.promptTokens());
                    state.of(backend).waited(waitedMillis - explained, nowMillis);
                    state.reach(backend).answered();
                });
    }

    /** Returns whether a server has answered some request of this host since a moment. */
    public boolean respondedSince(Backend backend, long millis) {
        return mTable.read(state -> state.of(backend).answeredSince(millis));
    }

    /**
     * Takes work off a server.
     *
     * @param backend the server
     * @param size the work
     * @param promptRead whether {@link #recordPrefillDone} was noted for it
     * @param outcome what became of it
     * @param nowMillis reading of the clock
     * @return whether the server is left out for a time from now on
     */
    public boolean recordOutcome(
            Backend backend,
            WorkSize size,
            boolean promptRead,
            SendOutcome outcome,
            long nowMillis) {
        return mTable.read(
                state -> {
                    BackendState known = state.of(backend);
                    known.open().ended(size, promptRead);
                    if (outcome == SendOutcome.MISDIRECTED) {
                        known.outdated(backend, nowMillis);
                    }
                    state.reach(backend).ended(backend.id(), outcome, nowMillis);
                    return known.health().ended(outcome, nowMillis);
                });
    }

    private Stream<Backend> candidates(
            State state, ServiceName service, Set<BackendId> avoid, long nowMillis) {
        List<Backend> named = except(state.mDirectory.usable(service), avoid);
        List<Backend> admitted =
                named.stream().filter(backend -> state.admits(backend, nowMillis)).toList();
        boolean runs = admitted.stream().anyMatch(backend -> backend.stage().completesRequests());
        if (runs) {
            return admitted.stream();
        }
        // Never leave out a whole service: what looks like the failure of all its servers is more
        // often this host's own, and a request refused for it would have been served.
        return named.stream().anyMatch(backend -> backend.stage().completesRequests())
                ? named.stream()
                : except(state.mDirectory.lapsed(service, nowMillis), avoid).stream();
    }

    private static List<Backend> except(Stream<Backend> backends, Set<BackendId> avoid) {
        return backends.filter(backend -> !avoid.contains(backend.id())).toList();
    }

    private Optional<Backend> best(List<Backend> backends, ToDoubleFunction<Backend> cost) {
        Map<Backend, Double> costs = new HashMap<>();
        backends.forEach(
                backend -> costs.put(backend, cost.applyAsDouble(backend) + mRandom.getAsDouble()));
        return backends.stream().min(Comparator.comparing(costs::get));
    }

    private double runCost(State state, Backend backend, long nowMillis) {
        BackendState known = state.of(backend);
        return readMillis(state, backend, known.open().unreadTokens())
                + known.open().requests() * mCosts.requestMillis()
                + (backend.domain().equals(mOwnDomain) ? 0 : mCosts.domainMillis())
                + known.health().failureRate(nowMillis) * mCosts.failureMillis()
                + known.fullness(nowMillis) * mCosts.fullMillis()
                + known.excessMillis(nowMillis);
    }

    private double readMillis(State state, Backend backend, long promptTokens) {
        double share = backend.stage() == BackendStage.PREFILL ? 1 : mCosts.inPlaceShare();
        return promptTokens / (state.speed(backend.service()).tokensPerMilli() * share);
    }

    private Optional<Backend> cheapestReader(
            State state, Backend runner, WorkSize size, long nowMillis) {
        List<Backend> readers =
                state.mDirectory
                        .usable(runner.service())
                        .filter(backend -> backend.stage() == BackendStage.PREFILL)
                        .filter(backend -> state.admits(backend, nowMillis))
                        .filter(reader -> !state.of(reader).isOutdated(reader, nowMillis))
                        .toList();
        BackendState known = state.of(runner);
        // Read in place, a prompt holds up every generation that runs there for as long.
        double inPlace =
                readMillis(state, runner, known.open().unreadTokens()) * (1 + known.runs(nowMillis))
                        + known.excessMillis(nowMillis);
        return best(readers, reader -> prefillCost(state, reader, runner, size, nowMillis))
                .filter(reader -> prefillCost(state, reader, runner, size, nowMillis) < inPlace);
    }

    private double prefillCost(
            State state, Backend reader, Backend runner, WorkSize size, long nowMillis) {
        BackendState known = state.of(reader);
        return readMillis(state, reader, known.open().unreadTokens() + size.promptTokens())
                + mCosts.handOverMillis()
                + (reader.domain().equals(runner.domain()) ? 0 : mCosts.domainMillis())
                + known.health().failureRate(nowMillis) * mCosts.failureMillis()
                + known.excessMillis(nowMillis);
    }

    private static boolean unused(State state, BackendId id) {
        return state.mDirectory.find(id).isEmpty() && state.mStates.get(id).open().requests() == 0;
    }
}
