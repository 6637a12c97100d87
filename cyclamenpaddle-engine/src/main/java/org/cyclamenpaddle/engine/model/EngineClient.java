package org.cyclamenpaddle.engine.model;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.AttemptId;

/** Client of one model engine. No method blocks, and no returned future completes exceptionally. */
public interface EngineClient {

    /** Prefills a prompt. */
    CompletableFuture<Either<EngineFailure, PrefillResult>> prefill(PrefillCall call);

    /** Imports KV cache and decodes. The stream has no timeout; the caller must detect silence. */
    StreamHandle decode(DecodeCall call, EngineStreamListener listener);

    /**
     * Resumes the stream of an attempt over a new connection.
     *
     * @param attempt the attempt
     * @param fromIndex index of the first requested token
     * @param listener receives the events from that token on
     */
    StreamHandle resume(AttemptId attempt, int fromIndex, EngineStreamListener listener);

    /**
     * Cancels an attempt. Idempotent; also takes effect if the attempt arrives later.
     *
     * @return whether the engine confirmed that it holds no memory for the attempt; if not, retry
     */
    CompletableFuture<Boolean> cancel(AttemptId attempt);

    /** Lists the attempts that the engine knows. */
    CompletableFuture<Either<EngineFailure, List<EngineAttempt>>> attempts();

    /** Reads the load, which lags. */
    CompletableFuture<Either<EngineFailure, EngineLoad>> load();

    /** Reads the prefix cache events after a sequence number. */
    CompletableFuture<Either<EngineFailure, CacheEvents>> cacheEvents(long after);

    /** Sends an order; completes with the state after the engine accepted it. */
    CompletableFuture<Either<EngineFailure, EngineState>> order(EngineOrder order);

    /** Reads what the engine serves. */
    CompletableFuture<Either<EngineFailure, EngineState>> state();
}
