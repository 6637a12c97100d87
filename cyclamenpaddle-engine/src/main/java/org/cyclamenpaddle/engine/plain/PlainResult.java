package org.cyclamenpaddle.engine.plain;

/** Outcome of a forwarded call. */
public sealed interface PlainResult {

    /**
     * The service sent a complete response.
     *
     * @param status HTTP status
     * @param contentType media type of the body; empty if none was given
     * @param body the body
     */
    record Response(int status, String contentType, byte[] body) implements PlainResult {}

    /**
     * Provably no byte of the call was sent, so it did not run.
     *
     * @param reason the cause
     */
    record NothingSent(String reason) implements PlainResult {}

    /**
     * The call may have run.
     *
     * @param reason the cause
     */
    record MaybeSent(String reason) implements PlainResult {}
}
