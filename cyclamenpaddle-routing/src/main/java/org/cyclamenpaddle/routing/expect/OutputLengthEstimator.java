package org.cyclamenpaddle.routing.expect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * Estimates how many tokens a request will generate, from those that completed.
 *
 * <p>A team's own requests tell most, but there must be enough of them; else those of the whole
 * service are taken, and with none the request's own bound. Old requests are forgotten by halves:
 * of two windows, the older one is dropped when the younger is full. Memory is bounded: the pair of
 * service and team heard of longest ago goes first. Not thread-safe.
 */
public final class OutputLengthEstimator {

    private static final int MOST_TOKENS = 131_072;
    private static final int SIGNIFICANT_DIGITS = 1;
    private static final int WINDOW = 500;
    private static final int ENOUGH = 20;
    private static final double PERCENT = 100;

    private record Source(ServiceName service, Optional<TeamName> team) {}

    private static final class Window {

        private IntCountsHistogram mYounger = histogram();
        private IntCountsHistogram mOlder = histogram();

        private void add(int tokens) {
            if (mYounger.getTotalCount() >= WINDOW) {
                mOlder = mYounger;
                mYounger = histogram();
            }
            mYounger.recordValue(Math.min(MOST_TOKENS, tokens));
        }

        private long count() {
            return mYounger.getTotalCount() + mOlder.getTotalCount();
        }

        private int quantile(double share) {
            IntCountsHistogram both = mOlder.copy();
            both.add(mYounger);
            return Math.toIntExact(both.getValueAtPercentile(share * PERCENT));
        }

        private static IntCountsHistogram histogram() {
            return new IntCountsHistogram(MOST_TOKENS, SIGNIFICANT_DIGITS);
        }
    }

    private final double mQuantile;
    private final Map<Source, Window> mWindows;

    /**
     * Creates an estimator that knows nothing.
     *
     * @param quantile share of requests that end within the estimate, from 0 to 1
     * @param mostSources services and pairs of service and team that are remembered
     */
    public OutputLengthEstimator(double quantile, int mostSources) {
        if (quantile <= 0 || quantile > 1 || mostSources < 1) {
            throw new IllegalArgumentException(
                    "estimator out of range: quantile " + quantile + ", sources " + mostSources);
        }
        mQuantile = quantile;
        mWindows =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Source, Window> eldest) {
                        return size() > mostSources;
                    }
                };
    }

    /**
     * Takes in a completed request.
     *
     * @param service its service
     * @param team its team
     * @param tokens tokens it generated
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
     * @param maxTokens bound that its caller set
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
                .filter(window -> window.count() >= ENOUGH)
                .map(window -> window.quantile(mQuantile));
    }
}
