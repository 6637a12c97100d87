package org.cyclamenpaddle.engine.plain;

/** What became of a forwarded call. */
public sealed interface PlainResult {

    /**
     * The service answered in full.
     *
     * @param status HTTP status
     * @param contentType media type of the body; empty if none was named
     * @param body the body
     */
    record Response(int status, String contentType, byte[] body) implements PlainResult {}

    /**
     * Provably no byte of the call left, so it did not run.
     *
     * @param reason what happened
     */
    record NothingSent(String reason) implements PlainResult {}

    /**
     * The call may have run.
     *
     * @param reason what happened
     */
    record MaybeSent(String reason) implements PlainResult {}
}
