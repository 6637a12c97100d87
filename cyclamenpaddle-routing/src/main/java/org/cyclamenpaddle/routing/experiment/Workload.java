package org.cyclamenpaddle.routing.experiment;

import java.util.List;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.text.PromptText;

/** Generates requests with long prompts and short outputs, some with a shared prefix. */
final class Workload {

    static final int MAX_TOKENS = 400;
    static final int KV_BYTES_PER_TOKEN = 80_000;

    private static final int SHARED_BLOCKS = 4;
    private static final int TEMPLATES = 64;
    private static final double SHARED_SHARE = 0.3;
    private static final double MEDIAN_PROMPT = 1_500;
    private static final double PROMPT_SIGMA = 0.7;
    private static final int MAX_PROMPT = 16_000;
    private static final double MEDIAN_OUTPUT = 85;
    private static final double OUTPUT_SIGMA = 0.6;
    private static final int SAMPLES = 100_000;

    /**
     * A request of the model.
     *
     * @param promptTokens tokens of the prompt
     * @param outputTokens tokens that will be generated, which no decision may read
     * @param blockHashes hashes of the shared prefix; empty if there is none
     */
    record Request(int promptTokens, int outputTokens, List<Long> blockHashes) {

        long kvBytes() {
            return (long) promptTokens * KV_BYTES_PER_TOKEN;
        }
    }

    private final UniformRandomProvider mRandom;

    Workload(UniformRandomProvider random) {
        mRandom = random;
    }

    Request next() {
        int prompt = (int) Math.min(MAX_PROMPT, 50 + logNormal(MEDIAN_PROMPT, PROMPT_SIGMA));
        int output = (int) Math.min(MAX_TOKENS, 1 + logNormal(MEDIAN_OUTPUT, OUTPUT_SIGMA));
        int sharedTokens = SHARED_BLOCKS * PromptText.TOKENS_PER_BLOCK;
        boolean shared = prompt > sharedTokens && mRandom.nextDouble() < SHARED_SHARE;
        return new Request(prompt, output, shared ? template() : List.of());
    }

    /** Returns the time to the next arrival of a Poisson process, in milliseconds. */
    double gapMillis(double perSecond) {
        return -Math.log(1 - mRandom.nextDouble()) * 1_000 / perSecond;
    }

    /** Returns the mean time that a decode slot is held at the full batch, in milliseconds. */
    static double meanHoldMillis(UniformRandomProvider random, double tokenMillis, long linkRate) {
        Workload workload = new Workload(random);
        double sum = 0;
        for (int i = 0; i < SAMPLES; i++) {
            Request request = workload.next();
            sum += request.outputTokens() * tokenMillis + request.kvBytes() * 1_000.0 / linkRate;
        }
        return sum / SAMPLES;
    }

    private List<Long> template() {
        long first = (long) mRandom.nextInt(TEMPLATES) * SHARED_BLOCKS;
        return LongStream.range(first, first + SHARED_BLOCKS).boxed().toList();
    }

    private double logNormal(double median, double sigma) {
        double radius = Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()));
        double normal = radius * Math.cos(2 * Math.PI * mRandom.nextDouble());
        return median * Math.exp(sigma * normal);
    }
}
