package org.cyclamenpaddle.peer.codec;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.PeerMessage;

/**
 * Cuts configuration answers to what fits into a frame.
 *
 * <p>Failure: a host starts while the platform is away and asks a peer for all objects; they don't
 * fit into a frame, no answer ever leaves, and the host never serves. The first objects alone are
 * enough: with its next ask the host tells what it has by then, and gets the rest.
 */
final class ConfigurationCut {

    /** Bytes of a frame beside the texts of its objects, and of an object beside its texts. */
    private static final int OVERHEAD = 64;

    private ConfigurationCut() {}

    /** Returns {@code message}, or its first objects if they are more than fit. */
    static PeerMessage fitting(PeerMessage message) {
        if (!(message instanceof ConfigurationResponse answer)) {
            return message;
        }
        List<ConfigurationObject> fitting = new ArrayList<>();
        long bytes = OVERHEAD;
        for (ConfigurationObject object : answer.objects()) {
            bytes += size(object);
            if (bytes > FrameCodec.MAX_FRAME_BYTES || fitting.size() == FieldReader.MAX_ELEMENTS) {
                break;
            }
            fitting.add(object);
        }
        return fitting.isEmpty() ? answer : new ConfigurationResponse(fitting);
    }

    private static long size(ConfigurationObject object) {
        int document = object.document().map(ConfigurationCut::bytes).orElse(0);
        return (long) OVERHEAD + bytes(object.key().path()) + document;
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
