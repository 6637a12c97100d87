package org.cyclamenpaddle.engine.model;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.AttemptId;

/** Client of one model engine. No method blocks, and no future completes exceptionally. */
public interface EngineClient {

    /** Prefills a prompt. */
    CompletableFuture<Either<EngineFailure, PrefillResult>> prefill(PrefillCall call);

    /**
     * Imports and decodes; the stream has no timeout of its own, so the caller watches for silence.
     */
    StreamHandle decode(DecodeCall call, EngineStreamListener listener);

    /**
     * Reads an attempt's stream again, over a new connection.
     *
     * @param attempt the attempt
     * @param fromIndex index of the first token that is wanted
     * @param listener hears the events from there on
     */
    StreamHandle resume(AttemptId attempt, int fromIndex, EngineStreamListener listener);

    /**
     * Cancels an attempt; idempotent, also before the attempt came.
     *
     * @return whether the engine confirmed that it holds nothing for it; if not, try again
     */
    CompletableFuture<Boolean> cancel(AttemptId attempt);

    /** Lists the attempts that the engine knows. */
    CompletableFuture<Either<EngineFailure, List<EngineAttempt>>> attempts();

    /** Reads the lagging load. */
    CompletableFuture<Either<EngineFailure, EngineLoad>> load();

    /** Reads the cache events after a sequence number. */
    CompletableFuture<Either<EngineFailure, CacheEvents>> cacheEvents(long after);

    /** Gives an order; the answer is the state after it was taken. */
    CompletableFuture<Either<EngineFailure, EngineState>> order(EngineOrder order);

    /** Reads what the engine serves. */
    CompletableFuture<Either<EngineFailure, EngineState>> state();
}
