package org.cyclamenpaddle.relay.log;

import java.util.List;

/**
 * Events that the relay logs. The operators' documentation lists them with the action to take.
 *
 * <p>A number is never reused for another event. 20xx are process events, 21xx changes of what is
 * known of the store and of backend servers, 22xx request events.
 */
public enum RelayEvent {
    STARTED(2001, Priority.STATE, "relay started", List.of("host", "domain", "callers", "pid")),
    READY(2002, Priority.STATE, "ready for new work", List.of("version", "routes", "backends")),
    STOPPING(2003, Priority.STATE, "planned stop begun", List.of("inFlight", "graceMillis")),
    STOPPED(2004, Priority.STATE, "relay stopped", List.of("inFlight", "tookMillis")),
    SETTINGS_RELOADED(2005, Priority.STATE, "settings reloaded", List.of("changed", "problem")),
    LINES_DROPPED(2006, Priority.STATE, "log lines dropped", List.of("lines")),
    LIBRARY_WARNING(
            2007, Priority.DIAGNOSTIC, "library warning", List.of("logger", "text", "failure")),
    STARTING(2008, Priority.STATE, "relay starting", List.of("pid")),
    START_FAILED(2009, Priority.STATE, "relay cannot start", List.of("cause")),
    ENDED_UNPLANNED(2010, Priority.STATE, "process ends without a planned stop", List.of("pid")),
    UNCAUGHT_ERROR(
            2011, Priority.STATE, "error that no code has handled", List.of("thread", "error")),
    CONNECTIONS_LIMITED(
            2012, Priority.STATE, "new connections limited", List.of("closed", "perSecond")),
    CONNECTIONS_UNLIMITED(
            2013, Priority.STATE, "new connections no longer limited", List.of("closed", "millis")),

    STORE_UNAVAILABLE(2101, Priority.STATE, "store calls fail", List.of("kind", "failure")),
    STORE_AVAILABLE(
            2102, Priority.STATE, "store calls succeed again", List.of("kind", "awayMillis")),
    CONFIGURATION_IN_FORCE(
            2103, Priority.STATE, "configuration in force", List.of("version", "was", "routes")),
    CONFIGURATION_IGNORED(
            2104, Priority.STATE, "configuration ignored", List.of("reason", "inForce")),
    BACKENDS_LISTED(2105, Priority.STATE, "backend servers listed", List.of("named", "unreadable")),
    BACKEND_CHANGED(
            2106,
            Priority.STATE,
            "backend server changed",
            List.of("backend", "endpoint", "version", "stage", "leaving")),
    BACKEND_REMOVED(
            2107,
            Priority.STATE,
            "backend server entry removed or unreadable",
            List.of("backend", "reason")),
    BACKEND_EJECTED(
            2108, Priority.STATE, "backend server ejected", List.of("backend", "outcome", "cause")),
    HOSTS_COUNTED(2111, Priority.STATE, "hosts counted", List.of("hosts", "was")),
    OWNER_UNREACHABLE(
            2112, Priority.STATE, "owner of quotas does not respond", List.of("host", "shard")),
    OWNER_REACHABLE(
            2113, Priority.STATE, "owner of quotas responds again", List.of("host", "shard")),
    QUOTA_UNANSWERED(
            2115,
            Priority.ORDINARY,
            "no primary owner of quotas responded in time",
            List.of("shard", "admitted", "denied")),
    STREAM_OWNER_SILENT(
            2125,
            Priority.STATE,
            "host does not confirm streams",
            List.of("host", "failure", "toldOthers")),
    STREAM_OWNER_CONFIRMS(
            2126, Priority.STATE, "host confirms streams again", List.of("host", "told")),
    DIRECTIVE_CHANGED(
            2114,
            Priority.STATE,
            "directive of a backend server changed",
            List.of("backend", "started", "directive", "value", "request")),
    BACKEND_ENDED_UNDER_REQUEST(
            2116,
            Priority.DIAGNOSTIC,
            "backend server ended under a request",
            List.of(
                    "request",
                    "route",
                    "fingerprint",
                    "parts",
                    "backend",
                    "started",
                    "evidence",
                    "open",
                    "servers")),
    REQUEST_QUARANTINED(
            2117,
            Priority.STATE,
            "request quarantined",
            List.of("fingerprint", "servers", "source", "millis")),
    QUARANTINE_ENDED(2118, Priority.STATE, "quarantine ended", List.of("fingerprint", "reason")),
    HOST_CUT_OFF(
            2119,
            Priority.STATE,
            "host cut off from a service",
            List.of("service", "servers", "unreached", "cutOff")),
    HOST_REACHES_SERVICE(
            2120,
            Priority.STATE,
            "host reaches a service again",
            List.of("service", "cutOffMillis")),
    PART_FOUND(
            2121,
            Priority.STATE,
            "backend servers end under a part of prompts",
            List.of("service", "part", "servers", "requests", "agoMillis", "millis", "chance")),
    PART_QUARANTINE_REJECTED(
            2122,
            Priority.STATE,
            "quarantine of a part rejected, since it has run well here",
            List.of("service", "part")),
    STORE_LOST_ALONE(
            2123, Priority.STATE, "only this host had lost the store", List.of("awayMillis")),
    ENTRY_UNUSABLE(
            2124,
            Priority.STATE,
            "store entry cannot be used",
            List.of("kind", "name", "revision", "reason")),
    LEASE_CHANGED(2109, Priority.STATE, "lease on orders changed", List.of("holder", "reason")),
    ORDER_ENDED(
            2110,
            Priority.STATE,
            "outcome of an order to an engine",
            List.of("backend", "stage", "fence", "answer")),

    REQUEST_ENDED(
            2201,
            Priority.ORDINARY,
            "request completed",
            List.of(
                    "request",
                    "route",
                    "team",
                    "version",
                    "prompt",
                    "output",
                    "backend",
                    "backendVersion",
                    "status",
                    "sends",
                    "millis",
                    "firstMillis",
                    "placeMillis",
                    "reader",
                    "events",
                    "pauseMillis",
                    "ended",
                    "passedOver",
                    "priority",
                    "moreUrgent",
                    "waitLimit",
                    "rejects",
                    "leftFree",
                    "parts",
                    "connection")),
    REQUEST_FAILED(
            2202,
            Priority.DIAGNOSTIC,
            "request failed",
            List.of(
                    "request",
                    "route",
                    "team",
                    "version",
                    "told",
                    "reason",
                    "sends",
                    "millis",
                    "passedOver",
                    "priority",
                    "moreUrgent",
                    "waitLimit",
                    "rejects",
                    "leftFree")),
    RESPONSE_TRUNCATED(
            2203,
            Priority.DIAGNOSTIC,
            "response truncated",
            List.of(
                    "request",
                    "route",
                    "team",
                    "stream",
                    "backend",
                    "backendVersion",
                    "reason",
                    "lastEvent",
                    "sends",
                    "millis")),
    CALLER_DISCONNECTED(
            2204,
            Priority.DIAGNOSTIC,
            "caller disconnected before the end of the response",
            List.of("request", "route", "team", "stream", "backend", "sends", "millis")),
    ATTEMPT_ENDED(
            2205,
            Priority.DIAGNOSTIC,
            "attempt without a response for the caller",
            List.of(
                    "request",
                    "backend",
                    "backendVersion",
                    "outcome",
                    "cause",
                    "millis",
                    "next",
                    "barrier",
                    "connection")),
    PREFILL_FAILED(
            2206,
            Priority.DIAGNOSTIC,
            "prefill failed",
            List.of("request", "backend", "outcome", "cause", "millis")),
    RESERVATION_FAILED(
            2208,
            Priority.DIAGNOSTIC,
            "reservation call failed",
            List.of("request", "backend", "cause")),
    RELEASE_FAILED(
            2209, Priority.DIAGNOSTIC, "engine memory not released", List.of("backend", "cause")),
    REPORT_FAILED(
            2210, Priority.DIAGNOSTIC, "engine report not available", List.of("backend", "cause")),
    BYTES_REFUSED(
            2215,
            Priority.DIAGNOSTIC,
            "body does not fit into the memory for requests",
            List.of("request", "route", "backend", "length", "held", "bound")),
    RESPONSE_AT_BOUND(
            2216,
            Priority.DIAGNOSTIC,
            "response is read no further ahead of its caller",
            List.of("request", "route", "responseHeld", "responseBound", "held", "bound")),
    QUARANTINED_REQUEST(
            2217,
            Priority.DIAGNOSTIC,
            "quarantined request refused",
            List.of("request", "route", "fingerprint", "millis")),
    REQUEST_HANDED_OVER(
            2218,
            Priority.DIAGNOSTIC,
            "request handed over to another host",
            List.of("request", "route", "service", "host", "tries")),
    REQUEST_TAKEN_OVER(
            2219,
            Priority.DIAGNOSTIC,
            "request taken over from another host",
            List.of("request", "route", "service", "host", "remainingMillis")),
    HANDOVER_REFUSED(
            2220,
            Priority.DIAGNOSTIC,
            "request not taken over by another host",
            List.of("request", "service", "host", "reason")),
    TAKEOVER_REFUSED(
            2221,
            Priority.DIAGNOSTIC,
            "request of another host refused",
            List.of("request", "host", "reason")),
    STREAM_TAKEN_UP(
            2222,
            Priority.DIAGNOSTIC,
            "stream taken up by its caller",
            List.of("request", "route", "service", "stream", "began", "millis")),
    SERVER_SILENT(
            2223,
            Priority.DIAGNOSTIC,
            "no data from a backend server for a time",
            List.of("request", "backend", "quietMillis", "lastEvent", "second", "lateMillis")),
    ONE_OF_TWO_ENDED(
            2224,
            Priority.DIAGNOSTIC,
            "one of two attempts ended",
            List.of("request", "backend", "outcome", "cause", "millis", "kept")),
    FOREIGN_BYTES(
            2225,
            Priority.DIAGNOSTIC,
            "bytes of a backend server that answer no request",
            List.of("address", "connection", "reason")),
    REQUEST_REFUSED(
            2207,
            Priority.DIAGNOSTIC,
            "request refused",
            List.of("request", "authority", "path", "team", "status", "reason", "version"));

    /** Priority of a line when the queue fills up. */
    enum Priority {
        /** A change of state of the process; rare. */
        STATE,
        /** Explains a failed request. */
        DIAGNOSTIC,
        /** A successful request. */
        ORDINARY
    }

    private final String mCode;
    private final Priority mPriority;
    private final String mText;
    private final List<String> mFields;

    RelayEvent(int number, Priority weight, String text, List<String> fields) {
        mCode = "CP" + number;
        mPriority = weight;
        mText = text;
        mFields = fields;
    }

    /** Returns the event code as written in log lines and in the documentation. */
    public String code() {
        return mCode;
    }

    /** Returns a short description of the event. */
    public String text() {
        return mText;
    }

    /** Returns the field names, in the order in which values are passed. */
    public List<String> fields() {
        return mFields;
    }

    Priority priority() {
        return mPriority;
    }
}
