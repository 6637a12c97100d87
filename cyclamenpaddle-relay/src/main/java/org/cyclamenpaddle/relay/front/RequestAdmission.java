package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.route.RequestTreatment;
import org.cyclamenpaddle.relay.route.Route;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.wire.CallerMessages;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.cyclamenpaddle.routing.handover.HandoverRefusal;

/** Matches a request to its route and its caller's team, or determines why it is refused. */
final class RequestAdmission {

    /**
     * A request that may be forwarded.
     *
     * @param configuration configuration that applies to it
     * @param route matching route
     * @param caller decoded request
     * @param team team of the caller; empty on a public route without a known key, and in a
     *     configuration without teams
     * @param handover terms of another host that has handed the request over; empty for a request
     *     of a caller of this host
     */
    record Admitted(
            RelayConfiguration configuration,
            Route route,
            CallerRequest caller,
            Optional<Team> team,
            Optional<HandoverTerms> handover) {}

    /**
     * A request that is refused.
     *
     * @param status status of the response
     * @param reason reason, for logs; contains nothing that the caller sent
     * @param team team of the caller, if it is known
     */
    record Rejected(HttpStatus status, String reason, Optional<TeamName> team) {

        static Rejected of(HttpStatus status, String reason) {
            return new Rejected(status, reason, Optional.empty());
        }
    }

    private final CallerMessages mMessages;
    private final ConfigurationCell mConfiguration;
    private final DrainState mDrainState;

    RequestAdmission(
            CallerMessages messages, ConfigurationCell configuration, DrainState drainState) {
        mMessages = messages;
        mConfiguration = configuration;
        mDrainState = drainState;
    }

    /**
     * Decides about a request by the configuration in force.
     *
     * @param headers request headers without hop-by-hop headers
     */
    Either<Rejected, Admitted> admit(RequestHeaders headers) {
        Optional<RelayConfiguration> inForce = mConfiguration.inForce();
        if (inForce.isEmpty()) {
            return rejected(HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet");
        }
        RelayConfiguration configuration = inForce.get();
        Optional<Route> route = configuration.find(authority(headers), headers.path());
        if (route.isEmpty()) {
            return rejectedIfCurrent(HttpStatus.NOT_FOUND, "no such route");
        }
        Either<String, CallerRequest> decoded = mMessages.request(headers);
        if (decoded.isLeft()) {
            return rejected(HttpStatus.BAD_REQUEST, decoded.getLeft());
        }
        CallerRequest caller = decoded.get();
        Optional<Team> team = caller.key().flatMap(configuration.teams()::find);
        if (team.isEmpty() && configuration.teams().keysRequired() && !route.get().publicAccess()) {
            return rejectedIfCurrent(
                    HttpStatus.UNAUTHORIZED,
                    caller.key().isPresent() ? "unknown API key" : "no usable API key");
        }
        if (!accepts(route.get(), caller)) {
            return Either.left(
                    new Rejected(
                            HttpStatus.SERVICE_UNAVAILABLE,
                            StopCheck.REASON,
                            team.map(Team::name)));
        }
        return Either.right(
                new Admitted(configuration, route.get(), caller, team, Optional.empty()));
    }

    private boolean accepts(Route route, CallerRequest caller) {
        long callerMillis = caller.callerTimeoutMillis().orElse(Long.MAX_VALUE);
        return mDrainState.accepts(
                route.kind().streams(),
                route.repeatable(),
                Math.min(route.timeoutMillis(), callerMillis));
    }

    /**
     * Decides about a request that another host has admitted.
     *
     * <p>This host applies its own configuration. An older one must treat the request as the newer
     * one does, since a request must not be treated as only an older version allows. A newer one
     * may have moved the route, and the request then goes back.
     *
     * @param headers request headers as forwarded to backend servers
     */
    Either<HandoverRefusal, Admitted> admitHandedOver(RequestHeaders headers, HandoverTerms terms) {
        Optional<RelayConfiguration> inForce = mConfiguration.inForce();
        Optional<Route> route =
                inForce.flatMap(
                        configuration -> configuration.find(authority(headers), headers.path()));
        Optional<CallerRequest> caller = mMessages.request(headers).toJavaOptional();
        Optional<Team> team =
                terms.team()
                        .flatMap(
                                name ->
                                        inForce.flatMap(
                                                configuration -> configuration.teams().find(name)));
        boolean fits =
                route.map(known -> known.hasService(terms.service())).orElse(false)
                        && caller.isPresent()
                        && appliesTo(inForce.get(), route.get(), team, terms)
                        && team.isPresent() == terms.team().isPresent();
        if (!fits) {
            return Either.left(HandoverRefusal.OUTDATED);
        }
        if (!accepts(route.get(), caller.get())) {
            return Either.left(HandoverRefusal.STOPPING);
        }
        return Either.right(
                new Admitted(
                        inForce.get(),
                        route.get(),
                        caller.get().with(terms.timeoutMillis(), terms.resumeAfter()),
                        team,
                        Optional.of(terms)));
    }

    private static boolean appliesTo(
            RelayConfiguration inForce, Route route, Optional<Team> team, HandoverTerms terms) {
        return inForce.version() >= terms.version()
                || terms.treatment()
                        .equals(
                                OptionalLong.of(
                                        RequestTreatment.fingerprint(
                                                route,
                                                terms.service(),
                                                inForce.engineProfile(terms.service()),
                                                team)));
    }

    static String authority(RequestHeaders headers) {
        return headers.authority() == null ? "" : headers.authority();
    }

    /**
     * Returns a final refusal if the store confirms the configuration in force.
     *
     * <p>Safeguard: a host that has lost the store may lack the newest routes and keys. It must not
     * send a final status, since the caller would not retry.
     */
    private Either<Rejected, Admitted> rejectedIfCurrent(HttpStatus status, String reason) {
        return mConfiguration.confirmed()
                ? rejected(status, reason)
                : rejected(
                        HttpStatus.SERVICE_UNAVAILABLE,
                        reason + " in a configuration that may be outdated");
    }

    private static Either<Rejected, Admitted> rejected(HttpStatus status, String reason) {
        return Either.left(Rejected.of(status, reason));
    }
}
