package org.cyclamenpaddle.routing.expect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * Estimates the output length of a request from those of completed requests.
 *
 * <p>A team's own requests are the best predictor, but there must be enough of them; otherwise
 * those of the entire service are used, and without any the request's own bound. Old requests
 * expire by halves: of two windows, the older one is dropped when the newer one is full. Memory is
 * bounded: the least recently used pair of service and team is evicted first. Not thread-safe.
 */
public final class OutputLengthEstimator {

    private static final int MAX_TOKENS = 131_072;
    private static final int SIGNIFICANT_DIGITS = 1;
    private static final int WINDOW_SAMPLES = 500;
    private static final int MIN_SAMPLES = 20;
    private static final double PERCENT = 100;

    private record Source(ServiceName service, Optional<TeamName> team) {}

    private static final class Window {

        private IntCountsHistogram mCurrent = histogram();
        private IntCountsHistogram mPrevious = histogram();

        private void add(int tokens) {
            if (mCurrent.getTotalCount() >= WINDOW_SAMPLES) {
                mPrevious = mCurrent;
                mCurrent = histogram();
            }
            mCurrent.recordValue(Math.min(MAX_TOKENS, tokens));
        }

        private long count() {
            return mCurrent.getTotalCount() + mPrevious.getTotalCount();
        }

        private int quantile(double share) {
            IntCountsHistogram both = mPrevious.copy();
            both.add(mCurrent);
            return Math.toIntExact(both.getValueAtPercentile(share * PERCENT));
        }

        private static IntCountsHistogram histogram() {
            return new IntCountsHistogram(MAX_TOKENS, SIGNIFICANT_DIGITS);
        }
    }

    private final double mQuantile;
    private final Map<Source, Window> mWindows;

    /**
     * Creates an estimator without samples.
     *
     * @param quantile share of requests that end within the estimate, from 0 to 1
     * @param maxSources maximum number of services and pairs of service and team
     */
    public OutputLengthEstimator(double quantile, int maxSources) {
        if (quantile <= 0 || quantile > 1 || maxSources < 1) {
            throw new IllegalArgumentException(
                    "estimator out of range: quantile " + quantile + ", sources " + maxSources);
        }
        mQuantile = quantile;
        mWindows =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Source, Window> eldest) {
                        return size() > maxSources;
                    }
                };
    }

    /**
     * Records a completed request.
     *
     * @param service its service
     * @param team its team
     * @param tokens tokens that it generated
     */
    public void completed(ServiceName service, TeamName team, int tokens) {
        add(new Source(service, Optional.of(team)), tokens);
        add(new Source(service, Optional.empty()), tokens);
    }

    /**
     * Returns the tokens that a request is expected to generate, at least 1.
     *
     * @param service its service
     * @param team its team
     * @param maxTokens upper bound set by its caller
     */
    public int expectedTokens(ServiceName service, TeamName team, int maxTokens) {
        int expected =
                estimate(new Source(service, Optional.of(team)))
                        .or(() -> estimate(new Source(service, Optional.empty())))
                        .orElse(maxTokens);
        return Math.max(1, Math.min(maxTokens, expected));
    }

    private void add(Source source, int tokens) {
        mWindows.computeIfAbsent(source, any -> new Window()).add(Math.max(0, tokens));
    }

    private Optional<Integer> estimate(Source source) {
        return Optional.ofNullable(mWindows.get(source))
                .filter(window -> window.count() >= MIN_SAMPLES)
                .map(window -> window.quantile(mQuantile));
    }
}
