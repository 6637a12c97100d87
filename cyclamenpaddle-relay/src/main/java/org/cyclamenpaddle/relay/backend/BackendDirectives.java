package org.cyclamenpaddle.relay.backend;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.relay.directive.DirectiveChange;
import org.cyclamenpaddle.relay.directive.Directives;

/**
 * What the registered backend servers ask of their callers, and the permits that this host holds.
 *
 * <p>Selection follows the directives by itself; every other call to a server asks here first.
 * Thread-safe.
 */
public final class BackendDirectives {

    private final Table<RegistryState> mTable;
    private final DoubleSupplier mRandom;

    /** Whether any server has sent a directive; until then, requests skip all checks. */
    private volatile boolean mDirectivesSeen;

    private volatile Consumer<Backend> mUnconfirmed = backend -> {};

    BackendDirectives(Table<RegistryState> table, DoubleSupplier random) {
        mTable = table;
        mRandom = random;
    }

    /**
     * Sets what is notified of each server that begins to count as leaving although the
     * announcement may have been made by its previous incarnation.
     */
    public void onLeavingUnconfirmed(Consumer<Backend> listener) {
        mUnconfirmed = listener;
    }

    void notifyUnconfirmed(Backend backend) {
        mUnconfirmed.accept(backend);
    }

    /** Returns whether it is unknown which incarnation of a server has announced its shutdown. */
    public boolean leavingUnconfirmed(Backend backend) {
        return mTable.read(state -> state.stateOf(backend).directives().leavingUnconfirmed());
    }

    /**
     * Records that a server has responded without announcing its shutdown.
     *
     * @param sentMillis time at which the request was sent
     * @return whether that shows that its previous incarnation had announced it
     */
    public boolean confirmStaying(Backend backend, long sentMillis) {
        return mTable.read(state -> state.stateOf(backend).directives().confirmStaying(sentMillis));
    }

    /**
     * Records what a server asks of its callers in the head of a response.
     *
     * <p>A shutdown that is announced in a response to a request to an earlier incarnation counts
     * for the listed one as well, until it is known which of them responded.
     *
     * @param backend the server
     * @param directives directives in the head
     * @param sentMillis time at which the request was sent
     * @param nowMillis current time of the steady clock
     * @return what has changed
     */
    public List<DirectiveChange> record(
            Backend backend, Directives directives, long sentMillis, long nowMillis) {
        List<DirectiveChange> changes =
                mTable.read(
                        state ->
                                state.stateOf(backend)
                                        .directives()
                                        .apply(directives, sentMillis, nowMillis));
        if (!changes.isEmpty()) {
            mDirectivesSeen = true;
        }
        if (directives.leaving()) {
            suspectSuccessor(backend, nowMillis).ifPresent(this::notifyUnconfirmed);
        }
        return changes;
    }

    private Optional<Backend> suspectSuccessor(Backend backend, long nowMillis) {
        return mTable.read(
                state ->
                        state.successor(backend)
                                .filter(
                                        listed ->
                                                state.stateOf(listed)
                                                        .directives()
                                                        .suspectLeaving(nowMillis)));
    }

    /**
     * Returns the servers of a service that limit their calls and for which this host holds too few
     * permits for a request, in random order.
     *
     * @param query what the request needs
     * @param nowMillis current time of the steady clock
     */
    public List<LimitedBackend> limited(BackendQuery query, long nowMillis) {
        if (!mDirectivesSeen) {
            return List.of();
        }
        return mTable.read(
                state ->
                        state.directory()
                                .usable(query.service())
                                .filter(query::matches)
                                .filter(backend -> state.acceptsWork(backend, nowMillis))
                                .filter(backend -> !state.permits(backend, query.size(), nowMillis))
                                .sorted(Comparator.comparing(backend -> mRandom.getAsDouble()))
                                .flatMap(backend -> limited(state, backend, query.size()).stream())
                                .toList());
    }

    /**
     * Returns the time until a server of a service may be called again, in milliseconds; empty if
     * the directives of its servers are not what prevents it.
     *
     * @param query what the request needs
     * @param nowMillis current time of the steady clock
     */
    public OptionalLong waitMillis(BackendQuery query, long nowMillis) {
        if (!mDirectivesSeen) {
            return OptionalLong.empty();
        }
        return mTable.read(
                state -> {
                    List<Backend> usable =
                            state.staying(query.service())
                                    .filter(backend -> backend.stage().completesRequests())
                                    .filter(query::matches)
                                    .toList();
                    return usable.stream()
                                    .anyMatch(
                                            backend ->
                                                    state.permits(backend, query.size(), nowMillis))
                            ? OptionalLong.empty()
                            : usable.stream()
                                    .mapToLong(
                                            backend ->
                                                    state.stateOf(backend)
                                                            .directives()
                                                            .waitMillis(nowMillis))
                                    .min();
                });
    }

    /**
     * Returns the number of servers of a service that a selection now passes over because of their
     * directives.
     */
    public long passedOver(BackendQuery query, long nowMillis) {
        if (!mDirectivesSeen) {
            return 0;
        }
        return mTable.read(
                state ->
                        state.directory()
                                .usable(query.service())
                                .filter(query::matches)
                                .filter(backend -> !state.permits(backend, query.size(), nowMillis))
                                .count());
    }

    /** Returns whether permits for a server should be requested; if so, marks that as begun. */
    public boolean beginPermitRequest(Backend backend, long nowMillis) {
        return mTable.read(
                state -> state.stateOf(backend).directives().beginPermitRequest(nowMillis));
    }

    /**
     * Records the response to a request for permits.
     *
     * @param backend the server
     * @param calls number of calls that are permitted; 0 if the request was denied
     * @param retryMillis time after which permits may be requested again, if it was denied
     * @param nowMillis current time of the steady clock
     */
    public void recordPermits(Backend backend, int calls, long retryMillis, long nowMillis) {
        mTable.write(
                state ->
                        state.stateOf(backend)
                                .directives()
                                .recordPermits(calls, retryMillis, nowMillis));
    }

    /**
     * Returns whether a server may be called once more on behalf of a request that was sent to it,
     * and uses the permits for it.
     */
    public boolean tryCall(Backend backend, int calls, long nowMillis) {
        return mTable.read(
                state ->
                        state.acceptsWork(backend, nowMillis)
                                && state.stateOf(backend).directives().tryUse(calls, nowMillis));
    }

    /**
     * Returns whether a server may be called to release what this host holds there, and uses a
     * permit for it.
     */
    public boolean tryRelease(Backend backend, long nowMillis) {
        return mTable.read(state -> state.stateOf(backend).directives().tryUse(1, nowMillis));
    }

    /**
     * Returns whether a server still accepts work for which permits were used before; it may have
     * asked for none since, or left.
     */
    public boolean acceptsWork(Backend backend, long nowMillis) {
        return mTable.read(state -> state.acceptsWork(backend, nowMillis));
    }

    /** Returns whether a server still accepts calls that release what this host holds there. */
    public boolean acceptsRelease(Backend backend, long nowMillis) {
        return mTable.read(state -> state.stateOf(backend).directives().acceptsCalls(nowMillis));
    }

    /** Returns whether a server asks for fewer calls, so that calls which can be left out are. */
    public boolean restricts(Backend backend, long nowMillis) {
        return mTable.read(state -> state.stateOf(backend).directives().restricted(nowMillis));
    }

    private static Optional<LimitedBackend> limited(
            RegistryState state, Backend backend, WorkSize size) {
        OptionalDouble perSecond = state.stateOf(backend).directives().callsPerSecond();
        return perSecond.isPresent()
                ? Optional.of(
                        new LimitedBackend(
                                backend, perSecond.getAsDouble(), backend.stage().calls(size)))
                : Optional.empty();
    }
}
