package org.cyclamenpaddle.relay.log;

import java.util.List;

/**
 * Every line that the relay writes; {@code docs/EVENTS.md} lists them with what to do.
 *
 * <p>A number is never given to another event. 20xx is the process, 21xx what it believes of the
 * store and of backend servers, 22xx requests.
 */
public enum RelayEvent {
    STARTED(2001, Weight.STATE, "relay started", List.of("host", "domain", "callers", "pid")),
    READY(2002, Weight.STATE, "ready for new work", List.of("version", "routes", "backends")),
    STOPPING(2003, Weight.STATE, "planned stop begun", List.of("inFlight", "graceMillis")),
    STOPPED(2004, Weight.STATE, "relay stopped", List.of("inFlight", "tookMillis")),
    SETTINGS_RELOADED(2005, Weight.STATE, "settings read again", List.of("changed", "problem")),
    LINES_DROPPED(2006, Weight.STATE, "log lines dropped", List.of("lines")),
    LIBRARY_WARNING(
            2007, Weight.TELLING, "warning of a library", List.of("logger", "text", "failure")),

    STORE_UNREACHABLE(2101, Weight.STATE, "store calls fail", List.of("kind", "failure")),
    STORE_REACHABLE(2102, Weight.STATE, "store calls succeed again", List.of("kind", "awayMillis")),
    CONFIGURATION_IN_FORCE(
            2103, Weight.STATE, "configuration in force", List.of("version", "was", "routes")),
    CONFIGURATION_IGNORED(
            2104, Weight.STATE, "configuration ignored", List.of("reason", "inForce")),
    BACKENDS_LISTED(2105, Weight.STATE, "backend servers listed", List.of("named", "unreadable")),
    BACKEND_CHANGED(
            2106,
            Weight.STATE,
            "backend server changed",
            List.of("backend", "endpoint", "stage", "leaving")),
    BACKEND_REMOVED(
            2107, Weight.STATE, "backend server has no entry", List.of("backend", "reason")),
    BACKEND_EJECTED(
            2108, Weight.STATE, "backend server left out", List.of("backend", "outcome", "cause")),
    HOSTS_COUNTED(2111, Weight.STATE, "hosts counted", List.of("hosts", "was")),
    LEASE_CHANGED(2109, Weight.STATE, "lease on orders changed", List.of("holder", "reason")),
    ORDER_ENDED(
            2110,
            Weight.STATE,
            "order to an engine",
            List.of("backend", "stage", "fence", "answer")),

    REQUEST_ENDED(
            2201,
            Weight.ORDINARY,
            "request answered",
            List.of(
                    "request",
                    "route",
                    "version",
                    "prompt",
                    "output",
                    "backend",
                    "status",
                    "sends",
                    "millis",
                    "firstMillis",
                    "placeMillis",
                    "reader",
                    "events",
                    "pauseMillis")),
    REQUEST_FAILED(
            2202,
            Weight.TELLING,
            "request ended without its answer",
            List.of("request", "route", "version", "told", "reason", "sends", "millis")),
    RESPONSE_TRUNCATED(
            2203,
            Weight.TELLING,
            "answer cut short",
            List.of("request", "route", "backend", "reason", "lastEvent", "sends", "millis")),
    CALLER_DISCONNECTED(
            2204,
            Weight.TELLING,
            "caller left before its answer",
            List.of("request", "route", "backend", "sends", "millis")),
    ATTEMPT_ENDED(
            2205,
            Weight.TELLING,
            "send without an answer for the caller",
            List.of("request", "backend", "outcome", "cause", "millis", "next")),
    PREFILL_FAILED(
            2206,
            Weight.TELLING,
            "prompt not read by a prefill engine",
            List.of("request", "backend", "outcome", "cause", "millis")),
    RESERVATION_FAILED(
            2208,
            Weight.TELLING,
            "engine did not say whether it keeps a place",
            List.of("request", "backend", "cause")),
    RELEASE_FAILED(
            2209,
            Weight.TELLING,
            "what an engine keeps was not freed",
            List.of("backend", "cause")),
    REPORT_FAILED(2210, Weight.TELLING, "engine's report not read", List.of("backend", "cause")),
    REQUEST_REFUSED(
            2207,
            Weight.TELLING,
            "request not taken",
            List.of("request", "authority", "path", "status", "reason", "version"));

    /** How much a line matters when there are too many. */
    enum Weight {
        /** A change of what the process believes; rare. */
        STATE,
        /** Explains a request that went wrong. */
        TELLING,
        /** A request that went well. */
        ORDINARY
    }

    private final int mNumber;
    private final Weight mWeight;
    private final String mText;
    private final List<String> mFields;

    RelayEvent(int number, Weight weight, String text, List<String> fields) {
        mNumber = number;
        mWeight = weight;
        mText = text;
        mFields = fields;
    }

    /** Returns the code as it stands in the line and in the catalogue. */
    public String code() {
        return "CP" + mNumber;
    }

    /** Returns what happened, in a few words. */
    public String text() {
        return mText;
    }

    /** Returns the names of the fields, in the order in which their values are given. */
    public List<String> fields() {
        return mFields;
    }

    Weight weight() {
        return mWeight;
    }
}
