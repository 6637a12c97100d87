package org.cyclamenpaddle.relay.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;

/** Entries and states of the backend servers that the registry guards; not thread-safe. */
final class RegistryState {
    private final BackendDirectory mDirectory = new BackendDirectory();
    private final Map<BackendId, BackendState> mStates = new HashMap<>();

    private final WaitingStreams mWaitingStreams = new WaitingStreams();
    private final Map<FailureDomain, DomainConnectivity> mConnectivity = new HashMap<>();
    private final Map<ServiceName, PrefillThroughput> mThroughputs = new HashMap<>();

    WaitingStreams waitingStreams() {
        return mWaitingStreams;
    }

    PrefillThroughput throughput(ServiceName service) {
        return mThroughputs.computeIfAbsent(service, key -> new PrefillThroughput());
    }

    DomainConnectivity connectivity(Backend backend) {
        return mConnectivity.computeIfAbsent(backend.domain(), domain -> new DomainConnectivity());
    }

    boolean admits(Backend backend, long nowMillis) {
        return stateOf(backend).health().admits(nowMillis)
                && connectivity(backend).admits(nowMillis);
    }

    /** Returns whether neither the store nor the server's responses rule out new work there. */
    boolean acceptsWork(Backend backend, long nowMillis) {
        return mDirectory.accepts(backend, nowMillis)
                && stateOf(backend).directives().acceptsWork(nowMillis);
    }

    Stream<Backend> staying() {
        return mDirectory.usable().filter(backend -> !stateOf(backend).directives().leaving());
    }

    Stream<Backend> staying(ServiceName service) {
        return staying().filter(backend -> backend.service().equals(service));
    }

    /** Returns whether what the server asks of its callers leaves room for a request. */
    boolean permits(Backend backend, WorkSize size, long nowMillis) {
        return stateOf(backend).directives().permits(backend.stage().calls(size), nowMillis);
    }

    void recordStart(Backend backend, WorkSize size, long nowMillis) {
        stateOf(backend).directives().tryUse(backend.stage().calls(size), nowMillis);
        stateOf(backend).recordStart(size, nowMillis);
        connectivity(backend).recordSend(nowMillis);
    }

    /**
     * Returns the state of a server.
     *
     * <p>A restarted server begins with fresh state: the in-flight work, failures, waits and
     * directives of its previous incarnation do not apply, except for an announced shutdown ({@link
     * #inheritLeaving}). What arrives late about the previous incarnation is recorded in a state of
     * its own, which nothing else reads.
     */
    BackendState stateOf(Backend backend) {
        BackendState known = mStates.get(backend.id());
        if (known != null && known.startedMillis() == backend.startedMillis()) {
            return known;
        }
        BackendState fresh = new BackendState(backend.startedMillis());
        if (mDirectory.find(backend.id()).map(backend::sameIncarnation).orElse(true)) {
            mStates.put(backend.id(), fresh);
        }
        return fresh;
    }

    /**
     * Applies the shutdown that a server's previous incarnation has announced to the listed one: a
     * response does not name its process, and that of the new incarnation may have sent it before
     * the store listed it.
     *
     * @return the listed incarnation if that has begun to count as leaving
     */
    Optional<Backend> inheritLeaving(BackendId id, long nowMillis) {
        Optional<BackendState> previous = Optional.ofNullable(mStates.get(id));
        return mDirectory
                .find(id)
                .filter(listed -> previous.map(state -> precedes(state, listed)).orElse(false))
                .filter(listed -> stateOf(listed).directives().suspectLeaving(nowMillis));
    }

    private static boolean precedes(BackendState state, Backend listed) {
        return state.startedMillis() != listed.startedMillis() && state.directives().leaving();
    }

    /** Returns the listed incarnation of a server if it is another one. */
    Optional<Backend> successor(Backend backend) {
        return mDirectory.find(backend.id()).filter(listed -> !listed.sameIncarnation(backend));
    }

    BackendDirectory directory() {
        return mDirectory;
    }

    /** Removes the state of servers that are not listed and of which nothing has to be kept. */
    void removeUnused(long nowMillis) {
        mStates.entrySet().removeIf(entry -> unused(entry.getKey(), entry.getValue(), nowMillis));
    }

    /** An entry may be missing for a time; the server's directives still hold when it is back. */
    private boolean unused(BackendId id, BackendState state, long nowMillis) {
        return mDirectory.find(id).isEmpty()
                && state.inFlightWork().requests() == 0
                && !state.directives().retained(nowMillis);
    }
}
