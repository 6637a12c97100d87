package org.cyclamenpaddle.routing.admission;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.routing.placement.BackendView;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.cyclamenpaddle.routing.placement.PlacementRequest;
import org.cyclamenpaddle.routing.placement.PlacementView;

/**
 * Admits a request only if its first token can come in time.
 *
 * <p>Safeguard: under overload a queue that takes everything makes every request late. What can't
 * be met is refused at once, before any prefill, so that what is admitted is still in time.
 */
public final class Admission {

    private final PlacementPolicy mPolicy;
    private final AdmissionSettings mSettings;

    /**
     * Creates the decision.
     *
     * @param policy how candidates are ordered
     * @param settings margins
     */
    public Admission(PlacementPolicy policy, AdmissionSettings settings) {
        mPolicy = policy;
        mSettings = settings;
    }

    /**
     * Admits or refuses a request.
     *
     * @param request the request; {@code millisLeft} is what is left until the first token is due
     * @param view what this host knows
     * @param random source of random numbers
     */
    public Either<Refusal, Admitted> admit(
            PlacementRequest request, PlacementView view, UniformRandomProvider random) {
        if (!anyUsable(view.prefill()) || !anyUsable(view.decode())) {
            return Either.left(Refusal.of(RefusalReason.NO_BACKEND, ""));
        }
        int most = Math.min(mostPieces(view.prefill()), mostPieces(view.decode()));
        if (request.pieces() > most) {
            return Either.left(tooLong(request, most));
        }
        List<Candidate> prefill = mPolicy.rankPrefill(request, view, random);
        long prefillEnd = prefill.get(0).predictedMillis();
        List<Candidate> decode = mPolicy.rankDecode(request, view, random, prefillEnd);
        long best = best(decode);
        if (best + mSettings.marginMillis() > request.millisLeft()) {
            return Either.left(unreachable(request, best));
        }
        return Either.right(new Admitted(prefill, decode, best));
    }

    /**
     * Returns the refusal of a request whose first token can't come in time.
     *
     * @param request the request
     * @param firstTokenInMillis predicted time to its first token, from now
     */
    public Refusal unreachable(PlacementRequest request, long firstTokenInMillis) {
        long late = firstTokenInMillis + mSettings.marginMillis() - request.millisLeft();
        long wait =
                Math.min(
                        mSettings.maxRetryAfterMillis(),
                        Math.max(mSettings.minRetryAfterMillis(), late));
        String detail =
                "the first token is predicted in "
                        + firstTokenInMillis
                        + " ms, and "
                        + request.millisLeft()
                        + " ms are left";
        return new Refusal(RefusalReason.DEADLINE_UNREACHABLE, detail, wait);
    }

    private static boolean anyUsable(List<BackendView> servers) {
        return servers.stream().anyMatch(BackendView::usable);
    }

    private static int mostPieces(List<BackendView> servers) {
        return servers.stream()
                .filter(BackendView::usable)
                .mapToInt(server -> server.spec().memoryPieces())
                .max()
                .orElse(0);
    }

    private static long best(List<Candidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingLong(Candidate::predictedMillis))
                .map(Candidate::predictedMillis)
                .orElse(Long.MAX_VALUE);
    }

    private static Refusal tooLong(PlacementRequest request, int most) {
        String detail =
                "it needs "
                        + request.pieces()
                        + " memory pieces, and the largest engine has "
                        + most;
        return Refusal.of(RefusalReason.PROMPT_TOO_LONG, detail);
    }
}
