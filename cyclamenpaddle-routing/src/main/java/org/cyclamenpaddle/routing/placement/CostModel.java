package org.cyclamenpaddle.routing.placement;

import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.message.LedgerSummary;

/**
 * Predicts the time to the first token from hints: queue, prefill, transfer, wait for decode
 * capacity.
 */
final class CostModel {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PlacementRequest mRequest;
    private final PlacementView mView;

    CostModel(PlacementRequest request, PlacementView view) {
        mRequest = request;
        mView = view;
    }

    /** Predicts the end of prefill and transfer on a prefill server. */
    Scored prefill(BackendView server) {
        int cached =
                Math.min(
                        mRequest.promptTokens(),
                        mView.prefixes().cachedTokens(server.id(), mRequest.blockHashes()));
        double workMillis = workMillis(server.spec(), mRequest.promptTokens() - cached);
        double queueMillis =
                server.hint().isPresent()
                        ? server.hintedWaitMillis()
                        : server.inFlight() * workMillis;
        double transferMillis = transferMillis(server.spec());
        double totalMillis =
                queueMillis + workMillis + transferMillis + 2 * server.distanceMillis();
        return new Scored(server, new Candidate(server.id(), Math.round(totalMillis), cached));
    }

    /** Predicts the time of the first token on a decode server. */
    Scored decode(BackendView server, long prefillEndInMillis) {
        long ready = prefillEndInMillis + 2 * server.distanceMillis();
        long start = Math.max(ready, capacityInMillis(server));
        long totalMillis = start + server.spec().tokenMillis();
        return new Scored(server, new Candidate(server.id(), totalMillis, 0));
    }

    private long capacityInMillis(BackendView server) {
        boolean capacityNow = server.hint().map(this::hasCapacity).orElse(true);
        return capacityNow ? 0 : server.hintedWaitMillis();
    }

    private boolean hasCapacity(LedgerSummary hint) {
        return hint.freeSlots() > 0 && hint.freePieces() >= mRequest.pieces();
    }

    private double workMillis(BackendSpec spec, int tokens) {
        if (spec.prefillTokensPerSecond() == 0) {
            return 0;
        }
        return mView.factors().prefill()
                * tokens
                * MILLIS_PER_SECOND
                / spec.prefillTokensPerSecond();
    }

    private double transferMillis(BackendSpec spec) {
        if (spec.linkBytesPerSecond() == 0) {
            return 0;
        }
        return mView.factors().transfer()
                * mRequest.kvBytes()
                * MILLIS_PER_SECOND
                / spec.linkBytesPerSecond();
    }
}
