package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.StreamKey;

/**
 * Asks at which software version a stream has begun.
 *
 * @param stream the stream
 */
public record StreamRequest(StreamKey stream) implements PeerMessage {}
