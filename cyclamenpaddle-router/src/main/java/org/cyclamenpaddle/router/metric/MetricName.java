package org.cyclamenpaddle.router.metric;

import java.util.List;

/** Metrics of the router by their exported names; {@code docs/METRICS.md} lists them. */
public enum MetricName {
    REQUESTS(
            "cyclamenpaddle_requests_total",
            MetricKind.COUNTER,
            List.of("service"),
            "Requests received, before any decision."),
    GOODPUT(
            "cyclamenpaddle_goodput_total",
            MetricKind.COUNTER,
            List.of("service"),
            "Requests answered in full within both latency targets of their service."),
    ANSWERED(
            "cyclamenpaddle_answered_total",
            MetricKind.COUNTER,
            List.of("service"),
            "Requests answered in full, in time or late."),
    REFUSALS(
            "cyclamenpaddle_refusals_total",
            MetricKind.COUNTER,
            List.of("reason"),
            "Requests refused or ended without a complete response, by reason."),
    RETRIES(
            "cyclamenpaddle_retries_total",
            MetricKind.COUNTER,
            List.of("reason"),
            "Attempts that the router retried, by reason."),
    TOKENS(
            "cyclamenpaddle_tokens_relayed_total",
            MetricKind.COUNTER,
            List.of("service"),
            "Tokens relayed to callers."),
    PREFILL_TOKENS(
            "cyclamenpaddle_prefill_tokens_total",
            MetricKind.COUNTER,
            List.of("service"),
            "Uncached prompt tokens that prefill engines computed."),
    WASTED_PREFILL_TOKENS(
            "cyclamenpaddle_wasted_prefill_tokens_total",
            MetricKind.COUNTER,
            List.of("service"),
            "Uncached prompt tokens computed and never used."),
    FIRST_TOKEN(
            "cyclamenpaddle_first_token_seconds",
            MetricKind.TIMER,
            List.of("service"),
            "Time from the request to its first token."),
    INTER_TOKEN(
            "cyclamenpaddle_inter_token_seconds",
            MetricKind.TIMER,
            List.of("service"),
            "Time between two tokens of one response."),
    HELD_GRANTS(
            "cyclamenpaddle_held_grants",
            MetricKind.GAUGE,
            List.of(),
            "Decode slots granted in the ledgers that this host owns."),
    IN_FLIGHT(
            "cyclamenpaddle_requests_in_flight",
            MetricKind.GAUGE,
            List.of(),
            "Requests of callers in flight on this host."),
    OWNERSHIP_MOVES(
            "cyclamenpaddle_ownership_moves_total",
            MetricKind.COUNTER,
            List.of("direction"),
            "Ownerships of backend servers that this host acquired or released."),
    CONFIGURATION_VERSION(
            "cyclamenpaddle_configuration_version",
            MetricKind.GAUGE,
            List.of(),
            "Highest configuration version that is in force on this host."),
    CONFIGURATION_AGE(
            "cyclamenpaddle_configuration_age_seconds",
            MetricKind.GAUGE,
            List.of(),
            "Time since this host last had the configuration confirmed, by platform or peer."),
    PEER_BYTES(
            "cyclamenpaddle_peer_bytes_total",
            MetricKind.COUNTER,
            List.of("direction"),
            "Bytes exchanged with other entry hosts."),
    BAD_PEER_FRAMES(
            "cyclamenpaddle_bad_peer_frames_total",
            MetricKind.COUNTER,
            List.of("error"),
            "Frames from peers that were rejected, by error."),
    DROPPED_PEER_FRAMES(
            "cyclamenpaddle_dropped_peer_frames_total",
            MetricKind.COUNTER,
            List.of("reason"),
            "Frames to peers that were dropped, and silent connections replaced, by reason."),
    BOOKINGS(
            "cyclamenpaddle_bookings_total",
            MetricKind.COUNTER,
            List.of("outcome"),
            "Keyed calls of plain services, by the outcome reported to the caller.");

    private final String mText;
    private final MetricKind mKind;
    private final List<String> mTags;
    private final String mDescription;

    MetricName(String text, MetricKind kind, List<String> tags, String description) {
        mText = text;
        mKind = kind;
        mTags = tags;
        mDescription = description;
    }

    /** Returns the exported name. */
    public String text() {
        return mText;
    }

    /** Returns the kind of metric. */
    public MetricKind kind() {
        return mKind;
    }

    /** Returns the names of the tags. */
    public List<String> tags() {
        return mTags;
    }

    /** Returns a one-sentence description. */
    public String description() {
        return mDescription;
    }
}
