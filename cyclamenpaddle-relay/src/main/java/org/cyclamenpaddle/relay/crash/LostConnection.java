package org.cyclamenpaddle.relay.crash;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * A connection to a backend server that ended before the response to a request was complete.
 *
 * @param request id of the caller's request
 * @param route route of the request
 * @param fingerprint fingerprint of the request
 * @param parts fingerprints of the parts of its prompt that may have ended the server; empty if the
 *     server had not come to run the request, or had been responding to it for some time
 * @param backend the server
 */
public record LostConnection(
        String request, String route, long fingerprint, List<Long> parts, Backend backend) {

    /** Maximum length of an id. */
    private static final int MAX_LENGTH = 128;

    public LostConnection {
        parts = List.copyOf(parts);
    }

    /** Returns an id that differs between two incarnations of a server with one id. */
    BackendId incarnation() {
        return incarnation(backend);
    }

    static BackendId incarnation(Backend backend) {
        String name = backend.id().value() + ":" + backend.startedMillis();
        return new BackendId(name.substring(Math.max(0, name.length() - MAX_LENGTH)));
    }
}
