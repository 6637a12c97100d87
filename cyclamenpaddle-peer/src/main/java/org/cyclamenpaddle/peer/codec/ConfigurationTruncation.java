package org.cyclamenpaddle.peer.codec;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.PeerMessage;

/**
 * Truncates configuration responses to the objects that fit into one frame.
 *
 * <p>Without it, a host that starts while the platform is unavailable and requests all objects from
 * a peer would get no response, as they exceed a frame, and would never serve. A partial response
 * is enough, since the next request lists the versions that the host has, and is answered with the
 * rest.
 */
final class ConfigurationTruncation {

    /**
     * Upper estimate of the bytes that a frame takes besides its objects, and an object besides its
     * key and document.
     */
    private static final int OVERHEAD_BYTES = 64;

    private ConfigurationTruncation() {}

    /** Returns {@code message}, or a response with its first objects if not all of them fit. */
    static PeerMessage truncateToFit(PeerMessage message) {
        if (!(message instanceof ConfigurationResponse response)) {
            return message;
        }
        List<ConfigurationObject> fitting = new ArrayList<>();
        long bytes = OVERHEAD_BYTES;
        for (ConfigurationObject object : response.objects()) {
            bytes += size(object);
            if (bytes > FrameCodec.MAX_FRAME_BYTES || fitting.size() == FieldReader.MAX_ELEMENTS) {
                break;
            }
            fitting.add(object);
        }
        return fitting.isEmpty() ? response : new ConfigurationResponse(fitting);
    }

    private static long size(ConfigurationObject object) {
        int document = object.document().map(ConfigurationTruncation::bytes).orElse(0);
        return (long) OVERHEAD_BYTES + bytes(object.key().path()) + document;
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
