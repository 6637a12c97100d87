package org.cyclamenpaddle.core.message;

import java.util.Optional;
import org.cyclamenpaddle.core.id.SoftwareVersion;

/**
 * Response to a {@link StreamRequest}.
 *
 * @param version software version that began the stream; empty if the host does not know it, which
 *     does not mean that the stream has not begun
 */
public record StreamResponse(Optional<SoftwareVersion> version) implements PeerMessage {}
