package org.cyclamenpaddle.routing.placement;

import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.message.LedgerSummary;

/** Predicts the time to the first token from hints: queue, prefill, transfer, wait for decode. */
final class CostModel {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PlacementRequest mRequest;
    private final PlacementView mView;

    CostModel(PlacementRequest request, PlacementView view) {
        mRequest = request;
        mView = view;
    }

    /** Predicts when prefill and transfer have ended if prefilled there. */
    Scored prefill(BackendView server) {
        int cached =
                Math.min(
                        mRequest.promptTokens(),
                        mView.prefixes().cachedTokens(server.id(), mRequest.blockHashes()));
        double work = workMillis(server.spec(), mRequest.promptTokens() - cached);
        double queue =
                server.hint().isPresent() ? server.hintedWaitMillis() : server.inFlight() * work;
        double transfer = transferMillis(server.spec());
        double total = queue + work + transfer + 2 * server.distanceMillis();
        return new Scored(server, new Candidate(server.id(), Math.round(total), cached));
    }

    /** Predicts when the first token comes if decoded there. */
    Scored decode(BackendView server, long prefillEndInMillis) {
        long ready = prefillEndInMillis + 2 * server.distanceMillis();
        long start = Math.max(ready, roomInMillis(server));
        long total = start + server.spec().tokenMillis();
        return new Scored(server, new Candidate(server.id(), total, 0));
    }

    private long roomInMillis(BackendView server) {
        boolean roomNow = server.hint().map(this::hasRoom).orElse(true);
        return roomNow ? 0 : server.hintedWaitMillis();
    }

    private boolean hasRoom(LedgerSummary hint) {
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
