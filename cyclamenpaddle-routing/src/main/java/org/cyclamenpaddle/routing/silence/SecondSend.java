package org.cyclamenpaddle.routing.silence;

import java.util.Locale;
import java.util.Optional;

/**
 * Decision whether a request whose server is silent is sent to a second server beside it.
 *
 * <p>A silence does not show that a server has ended: processes pause and go on. The first send is
 * therefore never ended for its silence. A second one is begun beside it where that can help, and
 * the first of the two that responds is kept. While all servers of a service are silent, second
 * sends would only double the load that meets them when they go on.
 */
public enum SecondSend {
    /** The request may be sent to a second server. */
    ALLOWED,
    /** The request may not run twice. */
    NOT_REPEATABLE,
    /** The request has been sent to as many servers as its route allows. */
    NO_ATTEMPTS,
    /** Part of a plain response has been forwarded, which no other response can continue. */
    PARTLY_FORWARDED,
    /** Another server could not respond in the time that is left. */
    NO_TIME,
    /** No other server can run the request. */
    NO_OTHER_SERVER,
    /** All other servers are silent as well. */
    OTHERS_SILENT,
    /** Nothing shows yet whether any other server responds. */
    OTHERS_UNKNOWN,
    /** Another server responds, but did not at the decision before. */
    OTHERS_UNCONFIRMED,
    /** The server responds to other requests, and may respond to this one. */
    SERVER_RESPONDS,
    /** Servers have ended under the request. */
    QUARANTINED,
    /** The shared retry budget is empty. */
    NO_BUDGET,
    /** No other server has room for the request. */
    NO_ROOM;

    /**
     * State of a request whose server is silent.
     *
     * @param repeatable whether it may run more than once
     * @param attemptsLeft whether its route allows another server
     * @param partlyForwarded whether part of a plain response has been forwarded
     * @param remainingMillis time until its timeout, in milliseconds
     * @param targetMillis time in which another server is expected to respond, in milliseconds
     */
    public record Request(
            boolean repeatable,
            boolean attemptsLeft,
            boolean partlyForwarded,
            long remainingMillis,
            long targetMillis) {

        /**
         * Multiple of the target latency below which the time left is too short to wait for the
         * response of a server that another request was sent to. Decisions on a request are at most
         * half a target apart, so that one falls before {@link #NO_TIME}.
         */
        private static final int LAST_CHANCE_TARGETS = 2;

        private boolean lastChance() {
            return remainingMillis < LAST_CHANCE_TARGETS * targetMillis;
        }
    }

    /**
     * What is known of the servers.
     *
     * @param resumed whether the server of the request has begun shortly before to respond to
     *     others
     * @param overdue whether the request can wait no longer for evidence about other servers
     * @param asked whether another server is asked for room before the request is sent there
     * @param others state of the servers that could run the request as well
     * @param before that state at the decision before; empty at the first one
     */
    public record Servers(
            boolean resumed,
            boolean overdue,
            boolean asked,
            OtherServers others,
            Optional<OtherServers> before) {

        /**
         * Servers that were silent together go on together, but not with the same event. Without a
         * second look, requests are sent again to the server that has gone on first.
         */
        private boolean confirmed() {
            return before.filter(others::equals).isPresent();
        }
    }

    /** Returns the decision, apart from budget and room, which are taken when it is carried out. */
    public static SecondSend decide(Request request, Servers servers) {
        if (!request.repeatable()) {
            return NOT_REPEATABLE;
        }
        if (!request.attemptsLeft()) {
            return NO_ATTEMPTS;
        }
        if (request.partlyForwarded()) {
            return PARTLY_FORWARDED;
        }
        if (request.remainingMillis() < request.targetMillis()) {
            return NO_TIME;
        }
        if (servers.resumed()) {
            return SERVER_RESPONDS;
        }
        return switch (servers.others()) {
            case NONE -> NO_OTHER_SERVER;
            case SILENT -> OTHERS_SILENT;
            case AWAITED ->
                    servers.asked() || servers.overdue() && request.lastChance()
                            ? ALLOWED
                            : OTHERS_UNKNOWN;
            case UNTRIED -> servers.asked() || servers.overdue() ? ALLOWED : OTHERS_UNKNOWN;
            case AVAILABLE -> servers.confirmed() ? ALLOWED : OTHERS_UNCONFIRMED;
        };
    }

    /** Returns whether the decision can change while the request runs. */
    public boolean mayChange() {
        return switch (this) {
            case ALLOWED,
                    NO_OTHER_SERVER,
                    OTHERS_SILENT,
                    OTHERS_UNKNOWN,
                    OTHERS_UNCONFIRMED,
                    SERVER_RESPONDS,
                    NO_BUDGET,
                    NO_ROOM ->
                    true;
            case NOT_REPEATABLE, NO_ATTEMPTS, PARTLY_FORWARDED, NO_TIME, QUARANTINED -> false;
        };
    }

    /** Returns the decision as logged. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
