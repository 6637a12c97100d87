package org.cyclamenpaddle.standins.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;
import java.util.Map;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.standins.http.Answers;

/**
 * Sizes and timing of a modelled engine, in modelled time.
 *
 * @param slots attempts decoded at once
 * @param pieces engine memory, in pieces of 4,096 tokens
 * @param cachePieces memory of the prefix cache, in the same pieces, on top of {@code pieces}
 * @param prefillTokensPerSecond prefill rate of uncached tokens
 * @param prefillBaseMillis fixed cost of each prefill, in milliseconds
 * @param tokenMillis decode step with one attempt, in milliseconds
 * @param batchSlope share by which each further attempt in the batch lengthens a step
 * @param answerTokens mean length of an answer that stops by itself; 0 if none does
 * @param kvBytesPerToken bytes of KV cache for each token
 * @param linkBytesPerSecond rate of the link that all exports share
 * @param resultMillis life of a prefill result that is not being exported, in milliseconds
 * @param keepMillis how long an ended attempt's events are kept, in milliseconds
 * @param loadLagMillis age of the published load, in milliseconds
 * @param cacheEventLagMillis age at which a cache event is published, in milliseconds
 * @param cacheEventLossEvery every how many cache events one is lost; 0 if none is
 * @param modelLoadMillis time an order takes to load another model, in milliseconds
 * @param fencing whether an order with an old fencing number is refused
 * @param requiresOrder whether an engine without a service refuses work
 * @param haltOnCrash whether a crash ends the whole process
 * @param speed by how much modelled time runs faster than the machine's clock
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

    /** An engine of today's size. */
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
                    "bad engine size: slots " + slots + ", pieces " + pieces);
        }
        if (prefillTokensPerSecond <= 0 || tokenMillis <= 0 || linkBytesPerSecond <= 0) {
            throw new IllegalArgumentException(
                    "rates must be above 0: prefill "
                            + prefillTokensPerSecond
                            + ", token ms "
                            + tokenMillis
                            + ", link "
                            + linkBytesPerSecond);
        }
        if (answerTokens < 0) {
            throw new IllegalArgumentException("answer tokens " + answerTokens + " are negative");
        }
        if (speed <= 0) {
            throw new IllegalArgumentException("speed " + speed + " must be above 0");
        }
    }

    /**
     * Reads settings from JSON; an absent member keeps its default, an unknown one is refused.
     *
     * @param json object whose members are named as this record's components
     */
    public static EngineSettings fromJson(String json) {
        try {
            return fromTree(Answers.JSON.readTree(json));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("engine settings: " + e.getOriginalMessage(), e);
        }
    }

    /** Reads settings as {@link #fromJson} does, from a parsed document. */
    public static EngineSettings fromTree(JsonNode given) {
        ObjectNode merged = Answers.JSON.valueToTree(DEFAULT);
        Iterator<Map.Entry<String, JsonNode>> members = given.fields();
        while (members.hasNext()) {
            Map.Entry<String, JsonNode> member = members.next();
            if (!merged.has(member.getKey())) {
                throw new IllegalArgumentException("unknown engine setting " + member.getKey());
            }
            merged.set(member.getKey(), member.getValue());
        }
        return Answers.JSON.convertValue(merged, EngineSettings.class);
    }

    /** Returns these settings for an engine that has its process to itself and dies with it. */
    public EngineSettings haltingOnCrash() {
        ObjectNode settings = Answers.JSON.valueToTree(this);
        settings.put("haltOnCrash", true);
        return fromTree(settings);
    }

    /** Returns the length of a decode step with {@code batch} attempts, in modelled ms. */
    public double stepMillis(int batch) {
        return tokenMillis * (1 + batchSlope * (batch - 1));
    }

    /** Returns the modelled duration of a machine duration, in milliseconds. */
    public long modelled(long machineMillis) {
        return (long) (machineMillis * speed);
    }

    /** Returns the machine duration of a modelled duration, in milliseconds, at least 1. */
    public long machine(long modelledMillis) {
        return Math.max(1, (long) (modelledMillis / speed));
    }
}
