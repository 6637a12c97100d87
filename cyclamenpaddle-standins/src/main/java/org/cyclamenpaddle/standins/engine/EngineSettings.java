package org.cyclamenpaddle.standins.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;
import java.util.Map;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.standins.http.JsonResponses;

/**
 * Sizes and timing of a simulated engine, in modelled time.
 *
 * @param slots decode slots, the maximum batch size
 * @param pieces KV cache memory, in blocks of 4,096 tokens
 * @param cachePieces memory of the prefix cache, in blocks, in addition to {@code pieces}
 * @param prefillTokensPerSecond prefill throughput of uncached tokens
 * @param prefillBaseMillis fixed overhead of each prefill, in milliseconds
 * @param tokenMillis duration of a decode step with one attempt, in milliseconds
 * @param batchSlope fraction of {@code tokenMillis} that each further attempt adds to a step
 * @param answerTokens mean completion length; 0 if completions never stop before their limit
 * @param kvBytesPerToken KV cache bytes per token
 * @param linkBytesPerSecond bandwidth of the link that all exports share
 * @param resultMillis time to live of a prefill result while it is not exported, in milliseconds
 * @param keepMillis retention of the events of an ended attempt, in milliseconds
 * @param loadLagMillis delay of the published load, in milliseconds
 * @param cacheEventLagMillis delay until a cache event is published, in milliseconds
 * @param cacheEventLossEvery every n-th cache event is lost; 0 if none is
 * @param modelLoadMillis time to load another model after an order, in milliseconds
 * @param fencing whether an order with a stale fencing token is rejected
 * @param requiresOrder whether an engine that has received no order rejects requests
 * @param haltOnCrash whether a crash halts the JVM
 * @param speed factor by which modelled time runs faster than real time
 */
public record EngineSettings(
        int slots,
        int pieces,
        int cachePieces,
        long prefillTokensPerSecond,
        long prefillBaseMillis,
        long tokenMillis,
        double batchSlope,
        int answerTokens,
        long kvBytesPerToken,
        long linkBytesPerSecond,
        long resultMillis,
        long keepMillis,
        long loadLagMillis,
        long cacheEventLagMillis,
        int cacheEventLossEvery,
        long modelLoadMillis,
        FencingSupport fencing,
        boolean requiresOrder,
        boolean haltOnCrash,
        double speed) {

    /** Sizes and timing of a current engine. */
    public static final EngineSettings DEFAULT =
            new EngineSettings(
                    20,
                    200,
                    100,
                    20_000,
                    5,
                    25,
                    0.02,
                    0,
                    81_920,
                    3_000_000_000L,
                    800,
                    10_000,
                    200,
                    300,
                    20,
                    2_000,
                    FencingSupport.HONOURS,
                    false,
                    false,
                    1.0);

    public EngineSettings {
        if (slots < 1 || pieces < 1 || cachePieces < 0) {
            throw new IllegalArgumentException(
                    "slots and pieces must be at least 1 and cachePieces at least 0: slots "
                            + slots
                            + ", pieces "
                            + pieces);
        }
        if (prefillTokensPerSecond <= 0 || tokenMillis <= 0 || linkBytesPerSecond <= 0) {
            throw new IllegalArgumentException(
                    "rates must be positive: prefillTokensPerSecond "
                            + prefillTokensPerSecond
                            + ", tokenMillis "
                            + tokenMillis
                            + ", linkBytesPerSecond "
                            + linkBytesPerSecond);
        }
        if (answerTokens < 0) {
            throw new IllegalArgumentException(
                    "answerTokens " + answerTokens + " must not be negative");
        }
        if (speed <= 0) {
            throw new IllegalArgumentException("speed " + speed + " must be positive");
        }
    }

    /**
     * Parses settings from JSON; an absent member has its default value, an unknown one is
     * rejected.
     *
     * @param json JSON object with the names of this record's components
     * @throws IllegalArgumentException if the text is not JSON or a member is unknown
     */
    public static EngineSettings fromJson(String json) {
        try {
            return fromTree(JsonResponses.JSON.readTree(json));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot parse engine settings: " + e.getOriginalMessage(), e);
        }
    }

    /** Reads settings from a parsed document, with the rules of {@link #fromJson}. */
    public static EngineSettings fromTree(JsonNode document) {
        ObjectNode merged = JsonResponses.JSON.valueToTree(DEFAULT);
        Iterator<Map.Entry<String, JsonNode>> members = document.fields();
        while (members.hasNext()) {
            Map.Entry<String, JsonNode> member = members.next();
            if (!merged.has(member.getKey())) {
                throw new IllegalArgumentException("unknown engine setting " + member.getKey());
            }
            merged.set(member.getKey(), member.getValue());
        }
        return JsonResponses.JSON.convertValue(merged, EngineSettings.class);
    }

    /** Returns a copy for an engine in a process of its own, which a crash halts. */
    public EngineSettings haltingOnCrash() {
        ObjectNode settings = JsonResponses.JSON.valueToTree(this);
        settings.put("haltOnCrash", true);
        return fromTree(settings);
    }

    /** Returns the duration of a decode step for a batch size, in modelled milliseconds. */
    public double stepMillis(int batch) {
        return tokenMillis * (1 + batchSlope * (batch - 1));
    }

    /** Converts a real duration to a modelled duration, in milliseconds. */
    public long modelled(long realMillis) {
        return (long) (realMillis * speed);
    }

    /** Converts a modelled duration to a real duration, in milliseconds, at least 1. */
    public long machine(long modelledMillis) {
        return Math.max(1, (long) (modelledMillis / speed));
    }
}
