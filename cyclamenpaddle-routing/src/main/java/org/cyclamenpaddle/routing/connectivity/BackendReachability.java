package org.cyclamenpaddle.routing.connectivity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Decides whether this host has lost its paths to the backend servers of a service.
 *
 * <p>The evidence are new connections that are opened only for that. Requests are no evidence: an
 * open connection can live on while new ones fail, and a late response may be the fault of its
 * server. A request that fails only causes checks. A service is cut off when checks of several of
 * its servers have failed and none has succeeded since. The host is cut off, from all services,
 * when checks of the other services have failed as well. Dead servers look the same to one host;
 * only other hosts can tell the difference. Not thread-safe.
 */
public final class BackendReachability {

    /** What a check has changed. */
    public enum Change {
        /** The host has lost its paths to the servers of a service. */
        CUT_OFF,
        /** The host has reached a server of the service again. */
        REACHED
    }

    /** Servers that are checked first; the others follow if this one is not reached. */
    private static final int FIRST_CHECKS = 1;

    /** Servers that are checked together while a service is cut off. */
    private static final int RECHECKS = 2;

    private static final class Evidence {
        private final Map<BackendId, Long> mFailedMillis = new HashMap<>();
        private boolean mSuspected;
        private boolean mCutOff;
        private long mNextCheckMillis;
        private Set<BackendId> mListed = Set.of();
    }

    private final ReachabilitySettings mSettings;
    private final DoubleSupplier mRandom;
    private final Map<ServiceName, Evidence> mServices = new HashMap<>();
    private final Map<ServiceName, Long> mVerifiedMillis = new HashMap<>();
    private final Map<BackendId, Long> mPendingMillis = new HashMap<>();
    private Map<ServiceName, List<CheckTarget>> mListed = Map.of();
    private boolean mHostSuspected;
    private boolean mHostCutOff;
    private long mNextHostCheckMillis;
    private long mLastContactMillis;
    private long mLastResponseMillis;

    /**
     * Creates a state without evidence.
     *
     * @param random uniformly distributed values from 0 to 1, which choose the servers to check
     * @param nowMillis current time of the steady clock
     */
    public BackendReachability(
            ReachabilitySettings settings, DoubleSupplier random, long nowMillis) {
        mSettings = settings;
        mRandom = random;
        mLastContactMillis = nowMillis;
        mLastResponseMillis = nowMillis;
    }

    /** Returns whether this host has lost its paths to the servers of a service. */
    public boolean isCutOff(ServiceName service) {
        Evidence evidence = mServices.get(service);
        return evidence != null && evidence.mCutOff || mHostCutOff;
    }

    /**
     * Records that a request could not be sent to a server of a service, or got no response. It
     * causes no checks shortly after a successful one, since single servers fail all the time.
     */
    public void requestFailed(ServiceName service, long nowMillis) {
        long verified = mVerifiedMillis.getOrDefault(service, Long.MIN_VALUE / 2);
        if (nowMillis - verified >= mSettings.quietMillis()) {
            evidence(service).mSuspected = true;
        }
    }

    /**
     * Records that a request is about to end because none of the servers that it was sent to was
     * reached. It causes checks even shortly after a successful one, since a path can be lost at
     * any time: at most one for each such request while servers are reached.
     */
    public void noneReached(ServiceName service) {
        evidence(service).mSuspected = true;
    }

    /** Returns whether checks are to show whether this host has lost its paths to a service. */
    public boolean isUndecided(ServiceName service) {
        Evidence evidence = mServices.get(service);
        return evidence != null && evidence.mSuspected && !isCutOff(service);
    }

    /**
     * Records that a request has opened a connection to a server of a service, which makes checks
     * needless for a time, and refutes those that had failed before.
     *
     * @param sentMillis time at which the connection was requested
     */
    public void requestConnected(ServiceName service, long sentMillis) {
        mVerifiedMillis.merge(service, sentMillis, Math::max);
        Optional.ofNullable(mServices.get(service))
                .filter(evidence -> !evidence.mCutOff)
                .ifPresent(
                        evidence ->
                                evidence.mFailedMillis
                                        .values()
                                        .removeIf(failed -> failed < sentMillis));
        mLastContactMillis = Math.max(mLastContactMillis, sentMillis);
    }

    /**
     * Records that a server has responded to a request, over any connection.
     *
     * @param sentMillis time at which the request was sent
     */
    public void requestResponded(long sentMillis) {
        mLastResponseMillis = Math.max(mLastResponseMillis, sentMillis);
    }

    /**
     * Returns the servers to which a connection is to be opened now; each one is expected to be
     * {@link #checked}.
     *
     * @param listed servers by service
     */
    public List<BackendId> dueChecks(Map<ServiceName, List<CheckTarget>> listed, long nowMillis) {
        mListed = listed;
        mServices.keySet().retainAll(listed.keySet());
        mVerifiedMillis.keySet().retainAll(listed.keySet());
        mPendingMillis
                .values()
                .removeIf(started -> nowMillis - started >= mSettings.evidenceMillis());
        Set<BackendId> due = new HashSet<>();
        if (!mHostCutOff) {
            listed.forEach(
                    (service, targets) -> due.addAll(dueChecks(service, targets, nowMillis)));
        }
        if (due.isEmpty()) {
            due.addAll(dueHostChecks(nowMillis));
        }
        due.forEach(server -> mPendingMillis.put(server, nowMillis));
        return List.copyOf(due);
    }

    private List<BackendId> dueChecks(
            ServiceName service, List<CheckTarget> targets, long nowMillis) {
        Evidence evidence = evidence(service);
        evidence.mFailedMillis
                .values()
                .removeIf(failed -> nowMillis - failed >= mSettings.evidenceMillis());
        if (evidence.mCutOff) {
            // A server that has just been listed may replace those that are gone.
            List<CheckTarget> added =
                    targets.stream()
                            .filter(target -> !evidence.mListed.contains(target.server()))
                            .toList();
            evidence.mListed = ids(targets);
            if (added.isEmpty() && nowMillis < evidence.mNextCheckMillis) {
                return List.of();
            }
            evidence.mNextCheckMillis = nowMillis + mSettings.recheckMillis();
            return pick(added.isEmpty() ? targets : added, RECHECKS);
        }
        if (!evidence.mSuspected) {
            return List.of();
        }
        List<CheckTarget> unchecked =
                targets.stream()
                        .filter(target -> !evidence.mFailedMillis.containsKey(target.server()))
                        .toList();
        long pending =
                targets.stream()
                        .filter(target -> mPendingMillis.containsKey(target.server()))
                        .count();
        int missing = required(targets.size()) - evidence.mFailedMillis.size() - (int) pending;
        if (evidence.mFailedMillis.isEmpty()) {
            missing = Math.min(missing, FIRST_CHECKS - (int) pending);
        }
        return pick(unchecked, Math.max(0, missing));
    }

    /** Returns checks that concern no particular service. */
    private List<BackendId> dueHostChecks(long nowMillis) {
        if (mHostCutOff || mHostSuspected) {
            if (nowMillis < mNextHostCheckMillis) {
                return List.of();
            }
            mNextHostCheckMillis = nowMillis + mSettings.recheckMillis();
            return mHostCutOff
                    ? pick(targets(true), RECHECKS)
                    : pick(targets(false), mSettings.minServers());
        }
        boolean quiet =
                nowMillis - mLastResponseMillis >= mSettings.quietMillis()
                        || nowMillis - mLastContactMillis >= mSettings.oldConnectionsMillis();
        if (!quiet || !mPendingMillis.isEmpty()) {
            return List.of();
        }
        mLastContactMillis = nowMillis;
        mLastResponseMillis = nowMillis;
        return pick(targets(true), 1);
    }

    /** Returns all servers, or those of the services that are not cut off. */
    private List<CheckTarget> targets(boolean all) {
        return mListed.entrySet().stream()
                .filter(entry -> all || !isCutOff(entry.getKey()))
                .flatMap(entry -> entry.getValue().stream())
                .toList();
    }

    /**
     * Chooses servers to check, half of them in this host's failure domain: in a host whose domain
     * is cut off, the others alone would look like a cut from all of them.
     */
    private List<BackendId> pick(List<CheckTarget> targets, int count) {
        List<BackendId> own = shuffled(targets, true);
        List<BackendId> others = shuffled(targets, false);
        int ownCount = Math.min(own.size(), Math.max((count + 1) / 2, count - others.size()));
        return Stream.concat(own.stream().limit(ownCount), others.stream().limit(count - ownCount))
                .toList();
    }

    private List<BackendId> shuffled(List<CheckTarget> targets, boolean ownDomain) {
        Map<BackendId, Double> order = new HashMap<>();
        targets.stream()
                .filter(target -> target.ownDomain() == ownDomain)
                .filter(target -> !mPendingMillis.containsKey(target.server()))
                .forEach(target -> order.put(target.server(), mRandom.getAsDouble()));
        return order.keySet().stream().sorted(Comparator.comparing(order::get)).toList();
    }

    /**
     * Records the result of a check.
     *
     * @return the services whose state has changed
     */
    public Map<ServiceName, Change> checked(BackendId server, CheckResult result, long nowMillis) {
        mPendingMillis.remove(server);
        Set<ServiceName> before = cutOff();
        List<ServiceName> services = servicesOf(server);
        if (result == CheckResult.CONNECTED) {
            connected(services, nowMillis);
        } else if (result == CheckResult.FAILED) {
            services.forEach(service -> failed(service, server, nowMillis));
        }
        return changes(before, cutOff());
    }

    private void connected(List<ServiceName> services, long nowMillis) {
        mLastContactMillis = nowMillis;
        mLastResponseMillis = nowMillis;
        if (mHostCutOff) {
            // All paths were lost together.
            mServices.clear();
        }
        mHostCutOff = false;
        services.forEach(mServices::remove);
        services.forEach(service -> mVerifiedMillis.put(service, nowMillis));
        mHostSuspected = false;
    }

    private void failed(ServiceName service, BackendId server, long nowMillis) {
        Evidence evidence = evidence(service);
        evidence.mFailedMillis.put(server, nowMillis);
        evidence.mSuspected = true;
        boolean enough = evidence.mFailedMillis.size() >= required(mListed.get(service).size());
        if (enough && !evidence.mCutOff) {
            evidence.mCutOff = true;
            evidence.mListed = ids(mListed.get(service));
            evidence.mNextCheckMillis = nowMillis + mSettings.recheckMillis();
            mHostSuspected = true;
        }
        if (mHostSuspected) {
            decideAboutHost();
        }
    }

    private void decideAboutHost() {
        List<CheckTarget> others = targets(false);
        long failed =
                others.stream()
                        .filter(
                                target ->
                                        mServices.values().stream()
                                                .anyMatch(
                                                        each ->
                                                                each.mFailedMillis.containsKey(
                                                                        target.server())))
                        .count();
        if (others.isEmpty() || failed >= required(others.size())) {
            mHostCutOff = true;
        }
    }

    private static Set<BackendId> ids(List<CheckTarget> targets) {
        return targets.stream().map(CheckTarget::server).collect(Collectors.toSet());
    }

    private int required(int servers) {
        return Math.max(1, Math.min(mSettings.minServers(), servers));
    }

    private Evidence evidence(ServiceName service) {
        return mServices.computeIfAbsent(service, unknown -> new Evidence());
    }

    private List<ServiceName> servicesOf(BackendId server) {
        return mListed.entrySet().stream()
                .filter(
                        entry ->
                                entry.getValue().stream()
                                        .anyMatch(target -> target.server().equals(server)))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the services to whose servers this host has lost its paths. */
    public Set<ServiceName> cutOff() {
        return mListed.keySet().stream().filter(this::isCutOff).collect(Collectors.toSet());
    }

    private static Map<ServiceName, Change> changes(
            Set<ServiceName> before, Set<ServiceName> after) {
        Map<ServiceName, Change> changes = new HashMap<>();
        before.forEach(service -> changes.put(service, Change.REACHED));
        after.forEach(service -> changes.put(service, Change.CUT_OFF));
        before.stream().filter(after::contains).forEach(changes::remove);
        return changes;
    }

    /** Returns the servers of a service to which the last checks failed. */
    public List<BackendId> unreached(ServiceName service) {
        return Optional.ofNullable(mServices.get(service))
                .map(evidence -> new ArrayList<>(evidence.mFailedMillis.keySet()))
                .orElseGet(ArrayList::new);
    }
}
