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
 * Order in which a host ranks the backend servers that a request could run on.
 *
 * <p>All policies skip unusable backend servers and rank possibly unreachable ones last.
 */
public enum PlacementPolicy {
    /** Round robin over the backend servers; a baseline. */
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

    /** Least reported load, which lags; a baseline. */
    LEAST_REPORTED_LOAD(false) {
        @Override
        List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random) {
            List<Scored> ordered = shuffled(servers, random);
            ordered.sort(BY_REPORTED_LOAD);
            return ordered;
        }
    },

    /** Less loaded of two randomly drawn servers; a baseline. */
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

    /** Least predicted time to first token, confirmed by grants of the ledgers' owners. */
    TIMED_GRANTS(true) {
        @Override
        List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random) {
            return servers.stream()
                    .map(scored -> new Costed(scored, jitteredCost(scored, random)))
                    .sorted(Comparator.comparingDouble(Costed::cost))
                    .map(Costed::scored)
                    .toList();
        }
    };

    private record Costed(Scored scored, double cost) {}

    private static final Comparator<Scored> BY_REPORTED_LOAD =
            Comparator.comparingDouble(Scored::load).thenComparingLong(Scored::waitMillis);

    /**
     * Predictions that differ by less than this, and by more for an older hint, count as ties.
     *
     * <p>Safeguard: hosts that hold the same old hint would otherwise all choose the same server,
     * and all but the first few of them would be refused there. An older hint is less reliable: the
     * free capacity of a server changes by several completions every half second.
     */
    private static final double TIE_MILLIS = 20;

    private static final double TIE_MILLIS_PER_HINT_AGE_MILLI = 0.5;

    private final boolean mUsesGrants;

    PlacementPolicy(boolean usesGrants) {
        mUsesGrants = usesGrants;
    }

    abstract List<Scored> order(List<Scored> servers, long turn, UniformRandomProvider random);

    /** Returns whether a placement needs a grant of the ledger's owner. */
    public boolean usesGrants() {
        return mUsesGrants;
    }

    /**
     * Ranks the prefill servers, best first.
     *
     * @param request the request
     * @param view this host's view of the backend servers
     * @param random source of random numbers
     */
    public List<Candidate> rankPrefill(
            PlacementRequest request, PlacementView view, UniformRandomProvider random) {
        CostModel costs = new CostModel(request, view);
        return rank(view.prefill(), costs::prefill, view.turn(), random);
    }

    /**
     * Ranks the decode servers, best first.
     *
     * @param request the request
     * @param view this host's view of the backend servers
     * @param random source of random numbers
     * @param prefillEndInMillis expected end of prefill and transfer, from now
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
        Map<Boolean, List<Scored>> byReachability =
                servers.stream()
                        .filter(BackendView::usable)
                        .map(score)
                        .collect(
                                Collectors.partitioningBy(
                                        scored -> scored.view().possiblyUnreachable()));
        List<Scored> ordered = new ArrayList<>(order(byReachability.get(false), turn, random));
        ordered.addAll(order(byReachability.get(true), turn, random));
        return ordered.stream().map(Scored::candidate).toList();
    }

    private static double jitteredCost(Scored scored, UniformRandomProvider random) {
        double tieMillis =
                TIE_MILLIS + TIE_MILLIS_PER_HINT_AGE_MILLI * scored.view().hintAgeMillis();
        return scored.cost() + tieMillis * random.nextDouble();
    }

    private static List<Scored> shuffled(List<Scored> servers, UniformRandomProvider random) {
        List<Scored> shuffled = new ArrayList<>(servers);
        for (int i = shuffled.size() - 1; i > 0; i--) {
            Collections.swap(shuffled, i, random.nextInt(i + 1));
        }
        return shuffled;
    }
}
