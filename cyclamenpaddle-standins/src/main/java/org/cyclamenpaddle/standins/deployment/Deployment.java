package org.cyclamenpaddle.standins.deployment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Current deployments and their sizes. */
public enum Deployment {
    /** Franchise office in Gujarat: long circulars shared by many prompts, short completions. */
    SABARMATI("malt-reader", "spot-book", List.of("ahm", "mhs", "rjk", "bnk"), 4, 9) {
        @Override
        public WorkloadShape workload() {
            return new WorkloadShape(
                    60,
                    1.0,
                    new TokenRange(200, 12_000),
                    new TokenRange(20, 600),
                    0.25,
                    new TokenRange(30, 1_500),
                    120,
                    12,
                    0.8);
        }

        @Override
        public long firstTokenMillis() {
            return 580;
        }
    },
    /**
     * Fire services around Perth: a long history per site, short completions, relaxed TTFT target.
     */
    SWANLINE(
            "note-writer",
            "rounds-desk",
            List.of("perth-metro", "goldfields", "south-west", "wheatbelt"),
            2,
            4) {
        @Override
        public WorkloadShape workload() {
            return new WorkloadShape(
                    150,
                    0.6,
                    new TokenRange(1_000, 24_000),
                    new TokenRange(30, 300),
                    0.1,
                    new TokenRange(30, 1_500),
                    160,
                    8,
                    0.5);
        }

        @Override
        public long firstTokenMillis() {
            return 2_000;
        }
    };

    /** Number of plain service instances in each deployment. */
    public static final int PLAIN_SERVERS = 4;

    private static final long PER_TOKEN_MILLIS = 44;
    private static final int PREFILL_TOKENS_PER_SECOND = 25_000;
    private static final int KV_BYTES_PER_TOKEN = 49_152;
    private static final long LINK_BYTES_PER_SECOND = 5_000_000_000L;
    private static final int CACHE_PIECES = 40;

    private final String mModelService;
    private final String mPlainService;
    private final List<String> mDomains;
    private final int mPrefillEngines;
    private final int mDecodeEngines;

    Deployment(
            String modelService,
            String plainService,
            List<String> domains,
            int prefillEngines,
            int decodeEngines) {
        mModelService = modelService;
        mPlainService = plainService;
        mDomains = domains;
        mPrefillEngines = prefillEngines;
        mDecodeEngines = decodeEngines;
    }

    /** Returns the workload shape of the model service. */
    public abstract WorkloadShape workload();

    /** Returns the target for the time to first token, in modelled milliseconds. */
    public abstract long firstTokenMillis();

    /** Returns the target for the inter-token latency, in modelled milliseconds. */
    public long perTokenMillis() {
        return PER_TOKEN_MILLIS;
    }

    /** Returns the name used on the command line. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the deployment whose {@link #code()} is {@code code}. */
    public static Optional<Deployment> fromCode(String code) {
        return Arrays.stream(values()).filter(d -> d.code().equals(code)).findFirst();
    }

    /** Returns the name of the model service. */
    public String modelService() {
        return mModelService;
    }

    /** Returns the name of the plain service. */
    public String plainService() {
        return mPlainService;
    }

    /** Returns the failure domains. */
    public List<String> domains() {
        return mDomains;
    }

    /** Returns the roles of the engines, prefill engines first. */
    public List<BackendRole> engineRoles() {
        return IntStream.range(0, mPrefillEngines + mDecodeEngines)
                .mapToObj(i -> i < mPrefillEngines ? BackendRole.PREFILL : BackendRole.DECODE)
                .collect(Collectors.toList());
    }

    /** Returns the failure domain of the backend or host with an index, in round-robin order. */
    public String domain(int index) {
        return mDomains.get(index % mDomains.size());
    }

    /**
     * Returns the engines' sizes and timing.
     *
     * @param speed factor by which modelled time runs faster than real time
     */
    public EngineSettings engineSettings(double speed) {
        ObjectNode settings = JsonResponses.JSON.createObjectNode();
        settings.put("prefillTokensPerSecond", PREFILL_TOKENS_PER_SECOND);
        settings.put("kvBytesPerToken", KV_BYTES_PER_TOKEN);
        settings.put("linkBytesPerSecond", LINK_BYTES_PER_SECOND);
        settings.put("cachePieces", CACHE_PIECES);
        settings.put("answerTokens", workload().answerTokens());
        settings.put("speed", speed);
        return EngineSettings.fromTree(settings);
    }
}
