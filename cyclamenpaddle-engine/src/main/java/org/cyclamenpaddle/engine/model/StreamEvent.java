package org.cyclamenpaddle.engine.model;

import io.vavr.control.Either;

/**
 * JSON body of one line of a decode stream.
 *
 * @param event name of the event
 * @param bytes of {@code imported}
 * @param index of {@code token}
 * @param text of {@code token}
 * @param tokens of {@code end}
 * @param finishReason of {@code end}
 * @param reason of {@code failed}
 */
record StreamEvent(
        String event,
        Long bytes,
        Integer index,
        String text,
        Integer tokens,
        String finishReason,
        String reason) {

    /**
     * Delivers this event to a listener.
     *
     * @return whether it was the last event of its stream, or why it is malformed
     */
    Either<EngineFailure, Boolean> deliver(EngineStreamListener listener) {
        String kind = String.valueOf(event);
        if (kind.equals("imported") && bytes != null) {
            listener.onImported(bytes);
            return Either.right(false);
        }
        if (kind.equals("token") && index != null && index >= 0 && text != null) {
            listener.onToken(index, text);
            return Either.right(false);
        }
        if (kind.equals("end") && tokens != null && finishReason != null) {
            listener.onEnd(tokens, finishReason);
            return Either.right(true);
        }
        if (kind.equals("failed") && reason != null) {
            listener.onFailed(EngineJson.failedEvent(reason));
            return Either.right(true);
        }
        return Either.left(new EngineFailure.Protocol("malformed stream event " + this));
    }
}
