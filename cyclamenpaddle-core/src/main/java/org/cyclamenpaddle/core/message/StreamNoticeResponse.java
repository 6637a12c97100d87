package org.cyclamenpaddle.core.message;

/**
 * Confirms that a host remembers the streams of a {@link StreamNotice}.
 *
 * @param incarnation start of the process; one that has started again remembers nothing of before
 */
public record StreamNoticeResponse(long incarnation) implements PeerMessage {}
