package org.cyclamenpaddle.engine.model;

/**
 * Hears the events of one decode stream, one at a time and in order.
 *
 * <p>Exactly one of {@link #onEnd}, {@link #onFailed} and {@link #onBroken} comes last, unless the
 * stream is closed before. Callbacks run on an I/O thread, perhaps before the call that opened the
 * stream has returned, and must not block.
 */
public interface EngineStreamListener {

    /** The KV cache has arrived; {@code bytes} of it. */
    void onImported(long bytes);

    /** A token was generated; {@code index} counts from the first token of the answer. */
    void onToken(int index, String text);

    /** The engine's final mark: {@code tokens} in all, from index 0. */
    void onEnd(int tokens, String finishReason);

    /** The engine refused or gave up the attempt; it holds nothing for it. */
    void onFailed(EngineFailure failure);

    /** The stream broke; the attempt may go on in the engine and can be resumed. */
    void onBroken(EngineFailure failure);
}
