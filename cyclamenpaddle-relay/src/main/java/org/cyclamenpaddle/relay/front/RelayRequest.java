package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import java.util.Optional;
import java.util.OptionalInt;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.RetryLimits;
import org.cyclamenpaddle.relay.role.Demand;
import org.cyclamenpaddle.relay.role.DemandMeter;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.route.RequestTreatment;
import org.cyclamenpaddle.relay.route.Route;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.cyclamenpaddle.routing.reservation.CallerRetryDelay;
import org.cyclamenpaddle.routing.reservation.Urgency;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/**
 * A request with the configuration that applies to it.
 *
 * @param caller request as decoded from the caller
 * @param body complete body
 * @param route matching route
 * @param service the route's service that was selected
 * @param team team of the caller; empty if it has none
 * @param engine engine profile of that service; empty for a plain service
 * @param urgency urgency among the routes of that service; no class is more urgent than another at
 *     a plain service
 * @param version version of the configuration used
 * @param handover terms of the host that has handed the request over; empty for a caller of this
 *     host
 */
record RelayRequest(
        CallerRequest caller,
        HttpData body,
        Route route,
        ServiceName service,
        Optional<Team> team,
        Optional<EngineProfile> engine,
        Urgency urgency,
        long version,
        Optional<HandoverTerms> handover) {

    /**
     * Share of a plain route's target latency that is its retry delay: about the time until a call
     * in flight completes.
     */
    private static final double RETRY_TARGET_SHARE = 0.5;

    /** Applies a configuration to a request that may be forwarded. */
    static RelayRequest of(RequestAdmission.Admitted admitted, HttpData body, ServiceName service) {
        RelayConfiguration configuration = admitted.configuration();
        Optional<EngineProfile> engine = configuration.engineProfile(service);
        int priority = priority(admitted.team(), admitted.route());
        return new RelayRequest(
                admitted.caller(),
                body,
                admitted.route(),
                service,
                admitted.team(),
                engine,
                engine.isPresent() ? configuration.urgency(service, priority) : Urgency.EQUAL,
                configuration.version(),
                admitted.handover());
    }

    /** Returns a fingerprint of what its configuration says about the request. */
    long treatment() {
        return RequestTreatment.fingerprint(route, service, engine, team);
    }

    /** Returns whether a caller of this host has sent the request. */
    boolean ofOwnCaller() {
        return handover.isEmpty();
    }

    /** Returns whether the request takes up a stream that another attempt has begun. */
    boolean takesUpStream() {
        return route.kind().streams() && caller.resumeAfter().isPresent();
    }

    /** Returns the software versions at which the request may run when it arrives. */
    StreamBinding binding() {
        return handover.map(HandoverTerms::binding).orElse(StreamBinding.ANY);
    }

    /** Returns the key of its stream; empty for a plain call, or if its beginning is not named. */
    Optional<StreamKey> streamKey() {
        Optional<String> firstAttempt =
                takesUpStream() ? caller.firstAttempt() : Optional.of(caller.id());
        return firstAttempt
                .filter(id -> route.kind().streams())
                .map(id -> StreamKey.of(service, id));
    }

    /** Returns the limits of its retries. */
    RetryLimits retryLimits() {
        RetryLimits limits =
                RetryLimits.of(route, caller.callerTimeoutMillis().orElse(Long.MAX_VALUE));
        return handover.map(terms -> limits.withAttempts(terms.attempts())).orElse(limits);
    }

    private static int priority(Optional<Team> team, Route route) {
        return team.map(Team::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    }

    /** Returns the name of the caller's team; empty if it has none. */
    Optional<TeamName> teamName() {
        return team.map(Team::name);
    }

    /**
     * Returns the priority of the request at an engine, 0 being the highest; empty at a plain
     * server.
     */
    OptionalInt enginePriority() {
        return engine.isEmpty() ? OptionalInt.empty() : OptionalInt.of(priority(team, route));
    }

    /** Counts a request of an engine service that ended without a backend server's response. */
    void recordRefusal(RelayMetrics metrics, CallerReply reply) {
        if (engine.isPresent()) {
            metrics.recordUrgencyRefusal(urgency.level(), reply);
        }
    }

    /**
     * Records a completed generation; does nothing for a plain call.
     *
     * @param demand meter to record it in
     * @param events number of its events
     * @param decodeMillis time from its first event to its last
     */
    void recordDemand(DemandMeter demand, long events, long decodeMillis) {
        engine.ifPresent(
                profile ->
                        demand.recordEnd(
                                service,
                                caller.size(),
                                new Demand(
                                        caller.size().promptTokens(),
                                        events * profile.tokensPerEvent(),
                                        decodeMillis)));
    }

    /** Returns whether an engine of the service could hold the request if it were empty. */
    boolean fitsEngine() {
        return engine.map(profile -> profile.holds(caller.size().memoryTokens())).orElse(true);
    }

    /** Returns the minimum retry delay of a refused request, in milliseconds. */
    long minRetryDelayMillis(DemandMeter demand) {
        if (engine.isEmpty()) {
            return Math.max(1, (long) (route.targetMillis() * RETRY_TARGET_SHARE));
        }
        double averageMillis = demand.of(service).map(Demand::decodeMillis).orElse(0.0);
        return CallerRetryDelay.minMillis(averageMillis, route.terms());
    }
}
