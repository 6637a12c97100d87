package org.cyclamenpaddle.routing.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * How a host orders the backend servers that a request could run on.
 *
 * <p>All policies leave out what may not be used and put what is doubtfully reachable last.
 */
public enum PlacementPolicy {
    /** Each backend server in turn; a baseline. */
    ROUND_ROBIN(false) {
        @Override
        List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random) {
            List<Scored> ordered = new ArrayList<>(servers);
            if (!ordered.isEmpty()) {
                Collections.rotate(ordered, -(int) (turn % ordered.size()));
            }
            return ordered;
        }
    },

    /** The least reported load, which lags; a baseline. */
    LEAST_REPORTED_LOAD(false) {
        @Override
        List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random) {
            List<Scored> ordered = shuffled(servers, random);
            ordered.sort(BY_REPORTED_LOAD);
            return ordered;
        }
    },

    /** The less loaded of two drawn at random; a baseline. */
    TWO_RANDOM_CHOICES(false) {
        @Override
        List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random) {
            List<Scored> ordered = shuffled(servers, random);
            if (ordered.size() > 1
                    && BY_REPORTED_LOAD.compare(ordered.get(0), ordered.get(1)) > 0) {
                Collections.swap(ordered, 0, 1);
            }
            return ordered;
        }
    },

    /** The least predicted time to first token, confirmed by grants of the ledgers' owners. */
    TIMED_GRANTS(true) {
        @Override
        List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random) {
            return servers.stream()
                    .map(scored -> new Costed(scored, spread(scored, random)))
                    .sorted(Comparator.comparingDouble(Costed::cost))
                    .map(Costed::scored)
                    .toList();
        }
    };

    private record Costed(Scored scored, double cost) {}

    private static final Comparator<Scored> BY_REPORTED_LOAD =
            Comparator.comparingDouble(Scored::load).thenComparingLong(Scored::waitMillis);

    /**
     * Predictions nearer to each other than this, and more for an old hint, are taken as equal.
     *
     * <p>Safeguard: hosts that hold the same old hint would else all choose the same server, and
     * all but the first few of them would be refused there. The older the hint, the less it tells:
     * a server's room changes by some completions in each half second.
     */
    private static final double NEAR_MILLIS = 20;

    private static final double NEAR_PER_AGE = 0.5;

    private final boolean mUsesGrants;

    PlacementPolicy(boolean usesGrants) {
        mUsesGrants = usesGrants;
    }

    abstract List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random);

    /** Returns whether a choice counts only once the ledger's owner granted it. */
    public boolean usesGrants() {
        return mUsesGrants;
    }

    /**
     * Orders the prefill servers, best first.
     *
     * @param request the request
     * @param view what this host knows
     * @param random source of random numbers
     */
    public List<Candidate> rankPrefill(
            PlacementRequest request, PlacementView view, UniformRandomProvider random) {
        CostModel costs = new CostModel(request, view);
        return rank(view.prefill(), costs::prefill, view.turn(), random);
    }

    /**
     * Orders the decode servers, best first.
     *
     * @param request the request
     * @param view what this host knows
     * @param random source of random numbers
     * @param prefillEndInMillis when prefill and transfer are expected to have ended, from now
     */
    public List<Candidate> rankDecode(
            PlacementRequest request,
            PlacementView view,
            UniformRandomProvider random,
            long prefillEndInMillis) {
        CostModel costs = new CostModel(request, view);
        return rank(
                view.decode(),
                server -> costs.decode(server, prefillEndInMillis),
                view.turn(),
                random);
    }

    private List<Candidate> rank(
            List<BackendView> servers,
            Function<BackendView, Scored> score,
            long turn,
            UniformRandomProvider random) {
        Map<Boolean, List<Scored>> byDoubt =
                servers.stream()
                        .filter(BackendView::usable)
                        .map(score)
                        .collect(Collectors.partitioningBy(scored -> scored.view().doubtful()));
        List<Scored> ordered = new ArrayList<>(order(byDoubt.get(false), turn, random));
        ordered.addAll(order(byDoubt.get(true), turn, random));
        return ordered.stream().map(Scored::candidate).toList();
    }

    private static double spread(Scored scored, UniformRandomProvider random) {
        double near = NEAR_MILLIS + NEAR_PER_AGE * scored.view().hintAgeMillis();
        return scored.cost() + near * random.nextDouble();
    }

    private static List<Scored> shuffled(List<Scored> servers, UniformRandomProvider random) {
        List<Scored> shuffled = new ArrayList<>(servers);
        for (int i = shuffled.size() - 1; i > 0; i--) {
            Collections.swap(shuffled, i, random.nextInt(i + 1));
        }
        return shuffled;
    }
}
