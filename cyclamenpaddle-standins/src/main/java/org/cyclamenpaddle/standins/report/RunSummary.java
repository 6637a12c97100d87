package org.cyclamenpaddle.standins.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one load run measured; rates and latencies are in modelled time.
 *
 * @param policy label of what was compared
 * @param deployment deployment whose shape was used
 * @param load offered share of the decode pool's capacity
 * @param seed seed of the arrivals and prompts
 * @param speed by how much modelled time ran faster than the machine's clock
 * @param seconds length of the arrivals
 * @param capacityPerSecond capacity of the decode pool, in requests a second
 * @param offered requests sent
 * @param good requests answered whole within both targets
 * @param outcomes requests by outcome
 * @param refusals requests refused or cut off, by the reason their callers were told
 * @param routerRefusals refusals that the entry hosts counted, by reason
 * @param retries retries that the entry hosts counted, by reason
 * @param prefilledTokens uncached tokens that engines prefilled
 * @param wastedTokens those of them never used
 * @param kills engines crashed on purpose
 * @param heldPieces engine memory pieces still held after the last call ended
 * @param firstToken time to first token
 * @param betweenTokens time between tokens
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

    /** Returns requests answered whole within both targets, a second. */
    @JsonProperty(access = JsonProperty.Access.READ_ONLY)
    public double goodPerSecond() {
        return good / seconds;
    }

    /** Returns the share of offered requests answered whole within both targets. */
    @JsonProperty(access = JsonProperty.Access.READ_ONLY)
    public double goodShare() {
        return offered == 0 ? 0 : (double) good / offered;
    }

    /** Returns the share of prefilled tokens that was never used. */
    @JsonProperty(access = JsonProperty.Access.READ_ONLY)
    public double wastedShare() {
        return prefilledTokens == 0 ? 0 : (double) wastedTokens / prefilledTokens;
    }

    /** Returns the requests with an outcome. */
    public long outcome(String code) {
        return outcomes.getOrDefault(code, 0L);
    }
}
