package org.cyclamenpaddle.standins.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results of one load run; rates and latencies are in modelled time.
 *
 * @param policy label of the compared variant
 * @param deployment deployment that defined the workload shape
 * @param load offered load, as a share of the decode pool's capacity
 * @param seed seed of the arrivals and prompts
 * @param speed factor by which modelled time ran faster than real time
 * @param seconds duration of the arrivals
 * @param capacityPerSecond capacity of the decode pool, in requests per second
 * @param offered number of requests sent
 * @param good requests completed within both latency targets
 * @param outcomes requests by outcome
 * @param refusals rejected, truncated or lost calls, by the reason that the caller received
 * @param routerRefusals rejections counted by the entry hosts, by reason
 * @param retries retries counted by the entry hosts, by reason
 * @param prefilledTokens uncached tokens prefilled by the engines
 * @param wastedTokens prefilled tokens that were never used
 * @param kills injected engine crashes
 * @param heldPieces KV cache blocks still allocated after the last call ended
 * @param firstToken time to first token
 * @param betweenTokens inter-token latency
 */
public record RunSummary(
        String policy,
        String deployment,
        double load,
        long seed,
        double speed,
        double seconds,
        double capacityPerSecond,
        long offered,
        long good,
        Map<String, Long> outcomes,
        Map<String, Long> refusals,
        Map<String, Long> routerRefusals,
        Map<String, Long> retries,
        long prefilledTokens,
        long wastedTokens,
        long kills,
        int heldPieces,
        Latency firstToken,
        Latency betweenTokens) {

    public RunSummary {
        outcomes = new TreeMap<>(outcomes);
        refusals = new TreeMap<>(refusals);
        routerRefusals = new TreeMap<>(routerRefusals);
        retries = new TreeMap<>(retries);
    }

    /** Returns the goodput: requests completed within both latency targets, per second. */
    @JsonProperty(access = JsonProperty.Access.READ_ONLY)
    public double goodPerSecond() {
        return good / seconds;
    }

    /** Returns the share of offered requests that completed within both latency targets. */
    @JsonProperty(access = JsonProperty.Access.READ_ONLY)
    public double goodShare() {
        return offered == 0 ? 0 : (double) good / offered;
    }

    /** Returns the share of prefilled tokens that were wasted. */
    @JsonProperty(access = JsonProperty.Access.READ_ONLY)
    public double wastedShare() {
        return prefilledTokens == 0 ? 0 : (double) wastedTokens / prefilledTokens;
    }

    /** Returns the number of requests with an outcome. */
    public long outcome(String code) {
        return outcomes.getOrDefault(code, 0L);
    }
}
