package org.cyclamenpaddle.engine.model;

/**
 * Receives the events of one decode stream, serially and in order.
 *
 * <p>Exactly one of {@link #onEnd}, {@link #onFailed} and {@link #onBroken} is called last, unless
 * the stream is closed before. Callbacks run on an I/O thread, possibly before the call that opened
 * the stream has returned, and must not block.
 */
public interface EngineStreamListener {

    /** Called when the KV cache of {@code bytes} was imported. */
    void onImported(long bytes);

    /** Called for a generated token; {@code index} counts from the first token of the response. */
    void onToken(int index, String text);

    /** Called for the end event: {@code tokens} in total, from index 0. */
    void onEnd(int tokens, String finishReason);

    /** Called when the engine rejected or aborted the attempt; it holds no memory for it. */
    void onFailed(EngineFailure failure);

    /**
     * Called when the stream was lost; the attempt may continue in the engine and can be resumed.
     */
    void onBroken(EngineFailure failure);
}
