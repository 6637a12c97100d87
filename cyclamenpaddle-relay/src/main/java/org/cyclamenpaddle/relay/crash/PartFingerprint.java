package org.cyclamenpaddle.relay.crash;

import java.util.List;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.wire.PromptParts;

/**
 * Identifies a part of the prompts of a service, on all hosts.
 *
 * <p>A cryptographic hash of the service and the id of the part, since the id is a caller's and
 * leaves this host in messages and log lines.
 */
public final class PartFingerprint {

    /** Maximum number of parts in one log line. */
    private static final int MAX_LOGGED = 8;

    private static final String NONE = "none";

    private PartFingerprint() {}

    /** Returns the fingerprint of a part. */
    public static long of(ServiceName service, String part) {
        return RequestFingerprint.hash(service.value(), part);
    }

    /** Returns the fingerprints of the parts of a prompt, in their order. */
    public static List<Long> of(ServiceName service, PromptParts parts) {
        return parts.ids().stream().map(part -> of(service, part)).distinct().toList();
    }

    /** Returns fingerprints as written in logs. */
    public static String text(List<Long> parts) {
        return parts.isEmpty()
                ? NONE
                : parts.stream()
                        .limit(MAX_LOGGED)
                        .map(RequestQuarantine::text)
                        .collect(Collectors.joining(","));
    }
}
