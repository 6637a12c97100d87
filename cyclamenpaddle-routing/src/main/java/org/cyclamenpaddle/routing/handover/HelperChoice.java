package org.cyclamenpaddle.routing.handover;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Chooses the hosts that a host without paths to the servers of a service hands its requests to.
 *
 * <p>Hosts that have taken a request lately come first, those of the own failure domain before
 * others, which cost traffic between domains. Once a host of the own domain is cut off as well, the
 * others of that domain come last. A request tries few hosts. When none of them reaches the
 * service, the next requests do not try for a while: either its servers are down, or no host knows
 * a way. Not thread-safe.
 */
public final class HelperChoice {

    /** Maximum number of hosts that are asked to take one request. */
    public static final int MAX_TRIES = 3;

    /** Time for which a host is preferred after it has taken a request, in milliseconds. */
    static final long PREFERRED_MILLIS = 3_000;

    /** Hosts that are known to take requests, from which on no further ones are tried. */
    private static final int MIN_PREFERRED = 4;

    /**
     * Share of the requests that try a further host until then. Without them, the hosts of a domain
     * that is cut off would send all their requests to the few that were found first.
     */
    private static final double EXPLORED_SHARE = 0.25;

    /** Time without tries after no host reached the service, in milliseconds. */
    static final long NONE_REACHES_MILLIS = 500;

    private record Known(HostId host, Optional<ServiceName> service) {}

    private record Pause(HandoverRefusal refusal, long untilMillis) {}

    private final Map<Known, Pause> mPauses = new HashMap<>();
    private final Map<Known, Long> mPreferredUntil = new HashMap<>();
    private final Map<ServiceName, Long> mNoneReachesUntil = new HashMap<>();
    private final DoubleSupplier mRandom;

    /**
     * Creates a choice without experience.
     *
     * @param random uniformly distributed values from 0 to 1, which break ties
     */
    public HelperChoice(DoubleSupplier random) {
        mRandom = random;
    }

    /**
     * Returns the host to ask; empty if the request should be refused.
     *
     * @param tried hosts that were asked to take this request before
     */
    public Optional<HostId> choose(
            ServiceName service,
            Collection<HelperCandidate> candidates,
            Set<HostId> tried,
            long nowMillis) {
        mPauses.values().removeIf(pause -> pause.untilMillis() <= nowMillis);
        mPreferredUntil.values().removeIf(until -> until <= nowMillis);
        boolean noneReaches = nowMillis < mNoneReachesUntil.getOrDefault(service, Long.MIN_VALUE);
        boolean ownDomainCutOff =
                candidates.stream()
                        .filter(HelperCandidate::ownDomain)
                        .anyMatch(candidate -> mPauses.containsKey(key(candidate.host(), service)));
        boolean explores =
                preferredHosts(service) < MIN_PREFERRED && mRandom.getAsDouble() < EXPLORED_SHARE;
        Map<HostId, Double> order = new HashMap<>();
        candidates.stream()
                .filter(candidate -> !tried.contains(candidate.host()))
                .filter(candidate -> !isPaused(candidate.host(), service))
                .filter(candidate -> !noneReaches || isPreferred(candidate.host(), service))
                .forEach(
                        candidate ->
                                order.put(
                                        candidate.host(),
                                        rank(candidate, service, explores, ownDomainCutOff)
                                                + mRandom.getAsDouble()));
        Optional<HostId> chosen =
                tried.size() >= MAX_TRIES
                        ? Optional.empty()
                        : order.keySet().stream().min(Comparator.comparing(order::get));
        if (chosen.isEmpty() && !noneReaches && !anyBusy(candidates)) {
            mNoneReachesUntil.put(service, nowMillis + NONE_REACHES_MILLIS);
        }
        return chosen;
    }

    /** Returns whether a host that is only busy may take the next request. */
    private boolean anyBusy(Collection<HelperCandidate> candidates) {
        return candidates.stream()
                .map(candidate -> mPauses.get(key(candidate.host())))
                .anyMatch(pause -> pause != null && pause.refusal() == HandoverRefusal.BUSY);
    }

    private int rank(
            HelperCandidate candidate,
            ServiceName service,
            boolean explores,
            boolean ownDomainCutOff) {
        if (!explores && isPreferred(candidate.host(), service)) {
            return candidate.ownDomain() ? 0 : 1;
        }
        return candidate.ownDomain() == ownDomainCutOff ? 3 : 2;
    }

    /** Records that a host has taken a request, or is said to reach the service. */
    public void reaches(HostId host, ServiceName service, long nowMillis) {
        mPreferredUntil.put(key(host, service), nowMillis + PREFERRED_MILLIS);
        mNoneReachesUntil.remove(service);
    }

    /** Records that a host has not taken a request. */
    public void refused(HostId host, ServiceName service, HandoverRefusal refusal, long nowMillis) {
        Known paused = refusal.concernsService() ? key(host, service) : key(host);
        mPauses.put(paused, new Pause(refusal, nowMillis + refusal.pauseMillis()));
        if (refusal != HandoverRefusal.BUSY) {
            mPreferredUntil.remove(key(host, service));
        }
    }

    /** Returns a host that has taken a request for a service lately. */
    public Optional<HostId> preferred(ServiceName service, long nowMillis) {
        return mPreferredUntil.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(Optional.of(service)))
                .filter(entry -> entry.getValue() > nowMillis)
                .map(entry -> entry.getKey().host())
                .findAny();
    }

    private long preferredHosts(ServiceName service) {
        return mPreferredUntil.keySet().stream()
                .filter(known -> known.service().equals(Optional.of(service)))
                .count();
    }

    private boolean isPaused(HostId host, ServiceName service) {
        return mPauses.containsKey(key(host)) || mPauses.containsKey(key(host, service));
    }

    private boolean isPreferred(HostId host, ServiceName service) {
        return mPreferredUntil.containsKey(key(host, service));
    }

    private static Known key(HostId host) {
        return new Known(host, Optional.empty());
    }

    private static Known key(HostId host, ServiceName service) {
        return new Known(host, Optional.of(service));
    }
}
