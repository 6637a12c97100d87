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
 * Admits a request only if its first token can be produced before its deadline.
 *
 * <p>Safeguard: under overload an admission queue that accepts everything makes every request late.
 * A request whose deadline cannot be met is refused at once, before any prefill, so that admitted
 * requests are still in time.
 */
public final class Admission {

    private final PlacementPolicy mPolicy;
    private final AdmissionSettings mSettings;

    /**
     * Creates an admission control.
     *
     * @param policy how candidates are ranked
     * @param settings safety margin and bounds of the retry delay
     */
    public Admission(PlacementPolicy policy, AdmissionSettings settings) {
        mPolicy = policy;
        mSettings = settings;
    }

    /**
     * Admits or refuses a request.
     *
     * @param request the request; {@code millisLeft} is the time left until the first token is due
     * @param view this host's view of the backend servers
     * @param random source of random numbers
     */
    public Either<Refusal, Admitted> admit(
            PlacementRequest request, PlacementView view, UniformRandomProvider random) {
        if (!anyUsable(view.prefill()) || !anyUsable(view.decode())) {
            return Either.left(Refusal.of(RefusalReason.NO_BACKEND, ""));
        }
        int maxPieces = Math.min(maxPieces(view.prefill()), maxPieces(view.decode()));
        if (request.pieces() > maxPieces) {
            return Either.left(promptTooLong(request, maxPieces));
        }
        List<Candidate> prefill = mPolicy.rankPrefill(request, view, random);
        long prefillEnd = prefill.get(0).predictedMillis();
        List<Candidate> decode = mPolicy.rankDecode(request, view, random, prefillEnd);
        long firstToken = earliestMillis(decode);
        if (firstToken + mSettings.marginMillis() > request.millisLeft()) {
            return Either.left(unreachable(request, firstToken));
        }
        return Either.right(new Admitted(prefill, decode, firstToken));
    }

    /**
     * Returns the refusal of a request whose first token would miss its deadline.
     *
     * @param request the request
     * @param firstTokenInMillis predicted time to its first token, from now
     */
    public Refusal unreachable(PlacementRequest request, long firstTokenInMillis) {
        long excess = firstTokenInMillis + mSettings.marginMillis() - request.millisLeft();
        long retryAfter =
                Math.min(
                        mSettings.maxRetryAfterMillis(),
                        Math.max(mSettings.minRetryAfterMillis(), excess));
        String detail =
                "the first token is predicted in "
                        + firstTokenInMillis
                        + " ms, and "
                        + request.millisLeft()
                        + " ms are left";
        return new Refusal(RefusalReason.DEADLINE_UNREACHABLE, detail, retryAfter);
    }

    private static boolean anyUsable(List<BackendView> servers) {
        return servers.stream().anyMatch(BackendView::usable);
    }

    private static int maxPieces(List<BackendView> servers) {
        return servers.stream()
                .filter(BackendView::usable)
                .mapToInt(server -> server.spec().memoryPieces())
                .max()
                .orElse(0);
    }

    private static long earliestMillis(List<Candidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingLong(Candidate::predictedMillis))
                .map(Candidate::predictedMillis)
                .orElse(Long.MAX_VALUE);
    }

    private static Refusal promptTooLong(PlacementRequest request, int maxPieces) {
        String detail =
                "it needs "
                        + request.pieces()
                        + " memory pieces, and the largest engine has "
                        + maxPieces;
        return Refusal.of(RefusalReason.PROMPT_TOO_LONG, detail);
    }
}
