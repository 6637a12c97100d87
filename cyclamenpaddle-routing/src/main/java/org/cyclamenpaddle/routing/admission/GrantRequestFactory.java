package org.cyclamenpaddle.routing.admission;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.routing.link.LinkBudget;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.cyclamenpaddle.routing.placement.PlacementRequest;

/**
 * Words the asks for grants of one request, so that what they bound leads to a first token in time.
 *
 * <p>Safeguard: a promised slot can come some 10 ms late, since it rests on the expected ends of
 * other attempts. With no margin each late one would make the first token late as well, and the
 * request would use its slot in vain.
 *
 * <p>A request whose prompt leaves no time for that margin may still have a slot that is free
 * exactly when it is needed; refusing it would be certain, its lateness is not.
 *
 * @param workMarginMillis time kept back for prefill and transfer that take longer
 * @param slotMarginMillis time kept back for slots that come late
 */
public record GrantRequestFactory(long workMarginMillis, long slotMarginMillis) {

    /** Margins of a few round trips between hosts. */
    public static final GrantRequestFactory DEFAULTS = new GrantRequestFactory(30, 80);

    public GrantRequestFactory {
        if (workMarginMillis < 0 || slotMarginMillis < workMarginMillis) {
            throw new IllegalArgumentException(
                    "margins are contradictory: work "
                            + workMarginMillis
                            + " ms, slot "
                            + slotMarginMillis
                            + " ms");
        }
    }

    /**
     * Returns the ask for a place in a prefill server's queue and for its link.
     *
     * @param attempt the attempt
     * @param request the request
     * @param candidate the prefill server, as ranked
     * @param millisLeft time left until the first token is due
     */
    public GrantRequest prefill(
            AttemptId attempt, PlacementRequest request, Candidate candidate, long millisLeft) {
        return new GrantRequest(
                attempt,
                candidate.backend(),
                BackendRole.PREFILL,
                request.promptTokens() - candidate.cachedTokens(),
                request.pieces(),
                request.kvBytes(),
                0,
                millisLeft - workMarginMillis,
                0);
    }

    /**
     * Returns the ask for a decode slot.
     *
     * <p>The engine takes the slot when the import begins, so it is needed from the end of the
     * prefill and not of the transfer.
     *
     * @param attempt the attempt
     * @param request the request
     * @param server the decode server
     * @param prefill the prefill server, whose link carries the transfer
     * @param prefillEndInMillis when prefill and transfer are expected to have ended, from now; 0
     *     if the result is there already
     * @param millisLeft time left until the first token is due
     */
    public GrantRequest decode(
            AttemptId attempt,
            PlacementRequest request,
            BackendSpec server,
            BackendSpec prefill,
            long prefillEndInMillis,
            long millisLeft) {
        long transfer = LinkBudget.transferMillis(request.kvBytes(), prefill.linkBytesPerSecond());
        long needed = Math.max(0, prefillEndInMillis - transfer);
        long last = millisLeft - transfer - server.tokenMillis();
        long onTime = Math.min(needed, last - workMarginMillis);
        long latest = Math.max(last - slotMarginMillis, onTime);
        return new GrantRequest(
                attempt,
                server.id(),
                BackendRole.DECODE,
                request.expectedOutputTokens(),
                request.pieces(),
                request.kvBytes(),
                needed,
                latest,
                transfer + request.expectedOutputTokens() * server.tokenMillis());
    }

    /**
     * Returns the ask for a slot that is free now, for a prefill result whose promised slot is
     * late.
     *
     * @param attempt the attempt
     * @param request the request
     * @param server another decode server
     * @param prefill the prefill server, whose link carries the transfer
     */
    public GrantRequest decodeNow(
            AttemptId attempt, PlacementRequest request, BackendSpec server, BackendSpec prefill) {
        GrantRequest ask = decode(attempt, request, server, prefill, 0, 0);
        return new GrantRequest(
                attempt,
                ask.backend(),
                ask.role(),
                ask.tokens(),
                ask.pieces(),
                ask.transferBytes(),
                0,
                0,
                ask.holdMillis());
    }
}
