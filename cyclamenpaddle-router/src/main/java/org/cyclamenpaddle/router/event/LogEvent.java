package org.cyclamenpaddle.router.event;

import static org.cyclamenpaddle.router.event.EventLevel.DEBUG;
import static org.cyclamenpaddle.router.event.EventLevel.ERROR;
import static org.cyclamenpaddle.router.event.EventLevel.INFO;
import static org.cyclamenpaddle.router.event.EventLevel.WARN;

import java.util.List;

/**
 * Events that the router logs.
 *
 * <p>Numbers are never reused. 10xx is the process, 11xx membership, 12xx configuration and
 * platform, 13xx requests, 14xx backend servers, 15xx peers and bookings, 19xx program faults.
 * {@code docs/EVENTS.md} lists the events with the recommended actions.
 */
public enum LogEvent {
    STARTED(
            1001,
            INFO,
            "entry host started",
            List.of("host", "incarnation", "domain", "http", "peer"),
            "The process runs and starts to discover members and to load the configuration.",
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
            "/readyz answers 503; requests in flight continue.",
            "Wait. A second signal does not shorten the stop."),
    DRAINED(
            1005,
            INFO,
            "no request in flight is left",
            List.of("waitedMillis"),
            "Every request in flight has ended with its response.",
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
            "A new host was discovered, or a suspected one responded.",
            "Nothing."),
    HOST_SUSPECT(
            1102,
            WARN,
            "host is suspected",
            List.of("host", "silentMillis"),
            "Its heartbeats are missing; it is probed through other hosts and by a new connection.",
            "If it repeats for one host, look at its load and its network."),
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
            "This host now manages the ledger of grants of that backend server.",
            "Nothing; if it changes repeatedly, look for suspected hosts."),
    OWNERSHIP_RELEASED(
            1111,
            INFO,
            "ownership of backend server given",
            List.of("backend", "to"),
            "Another host now manages the ledger of grants of that backend server.",
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
    PLATFORM_UNAVAILABLE(
            1210,
            WARN,
            "platform unreachable",
            List.of("error"),
            "Calls to the platform fail; the last configuration stays in force, keyed bookings and"
                    + " changes of configuration are refused.",
            "Restore the platform; see the page on operations, section platform outage."),
    PLATFORM_AVAILABLE(
            1211,
            INFO,
            "platform reachable again",
            List.of("awayMillis"),
            "Calls to the platform succeed again.",
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
            "Two backend servers crashed while running it; it is refused on every host for this"
                    + " time.",
            "Report prompt and model to the maintainers of the engine."),

    ORDER_SENT(
            1401,
            INFO,
            "order sent to engine",
            List.of("backend", "service", "model", "role", "fence"),
            "The engine reports a different assignment than the preset in force.",
            "Nothing; if it repeats for one engine, the engine does not take the order."),
    ORDER_REFUSED(
            1402,
            WARN,
            "order refused by engine",
            List.of("backend", "reason", "fence"),
            "A newer owner gave an order, or the engine is not able to.",
            "If it repeats, compare the fencing token with the status object of the server."),
    DRAIN_STARTED(
            1410,
            INFO,
            "drain of backend server started",
            List.of("backend", "inFlight"),
            "The server gets no new work; its requests in flight continue.",
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
            "The connection was closed and is opened again.",
            "Compare the versions of the two hosts; look for what else connects to the port."),
    BOOKING_UNKNOWN(
            1510,
            WARN,
            "outcome of keyed call unknown",
            List.of("request", "service", "backend", "attempt"),
            "Bytes were sent and no response arrived; the caller got the outcome unknown.",
            "Look the attempt up in the service's own records before the call is sent again."),

    INVARIANT_VIOLATED(
            1901,
            ERROR,
            "invariant broken; process stops",
            List.of("message"),
            "The program found its own state contradictory.",
            "Keep the log and report it as a fault; the platform restarts the process.");

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

    /** Returns the code used in log lines and in the catalogue, such as {@code CP1001}. */
    public String code() {
        return "CP" + mNumber;
    }

    /** Returns the severity. */
    public EventLevel level() {
        return mLevel;
    }

    /** Returns the message of the log line. */
    public String text() {
        return mText;
    }

    /** Returns the names of the fields, in the order in which they are logged. */
    public List<String> fields() {
        return mFields;
    }

    /** Returns a description of the event, for the catalogue. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns the recommended action for operators, for the catalogue. */
    public String action() {
        return mAction;
    }
}
