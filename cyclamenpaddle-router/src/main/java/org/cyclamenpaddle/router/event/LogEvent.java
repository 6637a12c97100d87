package org.cyclamenpaddle.router.event;

import static org.cyclamenpaddle.router.event.EventLevel.DEBUG;
import static org.cyclamenpaddle.router.event.EventLevel.ERROR;
import static org.cyclamenpaddle.router.event.EventLevel.INFO;
import static org.cyclamenpaddle.router.event.EventLevel.WARN;

import java.util.List;

/**
 * Every event that the router logs.
 *
 * <p>A number is never given to another event. 10xx is the process, 11xx membership, 12xx
 * configuration and platform, 13xx requests, 14xx backend servers, 15xx peers and bookings, 19xx
 * faults of the program. The page {@code docs/EVENTS.md} lists them with what to do.
 */
public enum LogEvent {
    STARTED(
            1001,
            INFO,
            "entry host started",
            List.of("host", "incarnation", "domain", "http", "peer"),
            "The process runs and begins to learn members and configuration.",
            "Nothing."),
    SETTINGS_REJECTED(
            1002,
            ERROR,
            "settings refused",
            List.of("problem"),
            "The settings file has an unknown key or a bad value; the process does not start.",
            "Correct the named key; check with cyclamenpaddle --check-settings FILE."),
    READY(
            1003,
            INFO,
            "ready for new work",
            List.of("preset", "version"),
            "The host knows the preset in force, and /readyz answers 200.",
            "Nothing."),
    STOPPING(
            1004,
            INFO,
            "planned stop begun",
            List.of("inFlight", "graceMillis"),
            "/readyz answers 503; requests in flight go on.",
            "Wait. A second signal does not shorten the stop."),
    DRAINED(
            1005,
            INFO,
            "no request in flight is left",
            List.of("waitedMillis"),
            "Every request in flight has ended with its answer.",
            "Nothing."),
    STOPPED(
            1006,
            INFO,
            "entry host stopped",
            List.of("ownershipsHandedOver"),
            "The process exits.",
            "Nothing."),

    HOST_ALIVE(
            1101,
            INFO,
            "host is alive",
            List.of("host", "domain"),
            "A new host was heard of, or a suspected one answered.",
            "Nothing."),
    HOST_SUSPECT(
            1102,
            WARN,
            "host is suspected",
            List.of("host", "silentMillis"),
            "Its heartbeats are missing; others and a new connection are asked.",
            "If it comes often for one host, look at its load and its network."),
    HOST_DEAD(
            1103,
            WARN,
            "host is dead",
            List.of("host", "domain"),
            "The silence was confirmed; its ownerships pass to others.",
            "Replace the host. Many at once in one failure domain mean a partition."),
    HOST_LEAVING(
            1104,
            INFO,
            "host is leaving",
            List.of("host"),
            "The host goes through a planned stop.",
            "Nothing."),
    OWNERSHIP_ACQUIRED(
            1110,
            INFO,
            "ownership of backend server taken",
            List.of("backend", "from"),
            "This host now keeps the ledger of grants of that backend server.",
            "Nothing; if it moves to and fro, look for suspected hosts."),
    OWNERSHIP_RELEASED(
            1111,
            INFO,
            "ownership of backend server given",
            List.of("backend", "to"),
            "Another host now keeps the ledger of grants of that backend server.",
            "Nothing."),

    CONFIGURATION_APPLIED(
            1201,
            INFO,
            "configuration applied",
            List.of("key", "version"),
            "This host decides by the new version from now on.",
            "Nothing."),
    CONFIGURATION_BEHIND(
            1202,
            WARN,
            "configuration behind a peer",
            List.of("peer", "objects"),
            "A peer's digest differs; the differing objects are pulled.",
            "If it stays, look at cyclamenctl status for the host that does not catch up."),
    PRESET_IN_FORCE(
            1203,
            INFO,
            "preset in force changed",
            List.of("preset", "previous", "version"),
            "New requests are placed by the new preset.",
            "Nothing."),
    PLATFORM_UNREACHABLE(
            1210,
            WARN,
            "platform away",
            List.of("error"),
            "Calls of the platform fail; the last configuration stays in force, keyed bookings and"
                    + " changes of configuration are refused.",
            "Restore the platform; see the page on operations, section platform outage."),
    PLATFORM_REACHABLE(
            1211,
            INFO,
            "platform back",
            List.of("awayMillis"),
            "Calls of the platform succeed again.",
            "Nothing."),

    REQUEST_REFUSED(
            1301,
            DEBUG,
            "request refused",
            List.of("request", "service", "reason"),
            "The caller got a problem document with this reason.",
            "Watch the counter of the reason rather than single lines."),
    REQUEST_RETRIED(
            1302,
            INFO,
            "attempt failed and is retried",
            List.of("request", "attempt", "reason"),
            "The router tries again within the deadline and the retry budget.",
            "Watch the counter of the reason."),
    ATTEMPT_CANCELLED_BY_OWNER(
            1303,
            WARN,
            "attempt without a live host cancelled",
            List.of("backend", "attempt"),
            "Its entry host died; the owner freed the engine memory that it held.",
            "Nothing; expected after a host died."),
    QUARANTINE_STRIKE(
            1310,
            WARN,
            "request was on a backend server that died",
            List.of("fingerprint", "backend", "strikes"),
            "The request is retried apart from other suspects.",
            "Look at the crash report of the backend server."),
    QUARANTINE_ENTERED(
            1311,
            ERROR,
            "request quarantined",
            List.of("fingerprint", "millis"),
            "Two backend servers died under it; it is refused on every host for this time.",
            "Give prompt and model to those who keep the engine."),

    ORDER_SENT(
            1401,
            INFO,
            "order sent to engine",
            List.of("backend", "service", "model", "role", "fence"),
            "The engine reports other than the preset in force asks.",
            "Nothing; if it repeats for one engine, the engine does not take the order."),
    ORDER_REFUSED(
            1402,
            WARN,
            "order refused by engine",
            List.of("backend", "reason", "fence"),
            "A newer owner gave an order, or the engine is not able to.",
            "If it repeats, compare the fencing number with the status object of the server."),
    DRAIN_STARTED(
            1410,
            INFO,
            "drain of backend server started",
            List.of("backend", "inFlight"),
            "The server gets no new work; what it has in flight goes on.",
            "Wait for the event that ends the drain before the server is stopped."),
    DRAIN_ENDED(
            1411,
            INFO,
            "drain of backend server ended",
            List.of("backend"),
            "Nothing is in flight on the server; it may be stopped.",
            "Stop or change the server."),

    BAD_PEER_FRAME(
            1501,
            WARN,
            "bad frame from peer",
            List.of("peer", "error"),
            "The connection was closed and is made anew.",
            "Compare the versions of the two hosts; look for what else connects to the port."),
    BOOKING_UNKNOWN(
            1510,
            WARN,
            "outcome of keyed call unknown",
            List.of("request", "service", "backend", "attempt"),
            "Bytes were sent and no answer came; the caller was told unknown.",
            "Look the attempt up in the service's own records before it is asked anew."),

    INVARIANT_VIOLATED(
            1901,
            ERROR,
            "invariant broken; process stops",
            List.of("message"),
            "The program found its own state contradictory.",
            "Keep the log and report it as a fault; the platform starts the process anew.");

    private final int mNumber;
    private final EventLevel mLevel;
    private final String mText;
    private final List<String> mFields;
    private final String mMeaning;
    private final String mAction;

    LogEvent(
            int number,
            EventLevel level,
            String text,
            List<String> fields,
            String meaning,
            String action) {
        mNumber = number;
        mLevel = level;
        mText = text;
        mFields = fields;
        mMeaning = meaning;
        mAction = action;
    }

    /** Returns the code that log lines and the catalogue carry, as in {@code CP1001}. */
    public String code() {
        return "CP" + mNumber;
    }

    /** Returns how severe it is. */
    public EventLevel level() {
        return mLevel;
    }

    /** Returns the sentence of the log line. */
    public String text() {
        return mText;
    }

    /** Returns the names of its fields, in the order in which they are logged. */
    public List<String> fields() {
        return mFields;
    }

    /** Returns what has happened, for the catalogue. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns what an operator does about it, for the catalogue. */
    public String action() {
        return mAction;
    }
}
