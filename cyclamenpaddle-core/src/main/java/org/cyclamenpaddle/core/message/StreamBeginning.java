package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;

/**
 * Software version of the backend server that began a stream.
 *
 * @param stream the stream
 * @param version the version
 * @param remainingMillis how long the caller may still take the stream up, in milliseconds from now
 */
public record StreamBeginning(StreamKey stream, SoftwareVersion version, long remainingMillis) {

    public StreamBeginning {
        if (stream == null || version == null || remainingMillis < 0) {
            throw new IllegalArgumentException(
                    "beginning needs a stream, a version and a remaining time of at least 0 ms");
        }
    }
}
