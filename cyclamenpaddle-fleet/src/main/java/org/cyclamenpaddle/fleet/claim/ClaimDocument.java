package org.cyclamenpaddle.fleet.claim;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * All claims of one shard, stored as one object in the platform.
 *
 * @param claims the claims by key, oldest first
 */
public record ClaimDocument(Map<ClaimKey, ClaimRecord> claims) {

    /** A shard without claims. */
    public static final ClaimDocument EMPTY = new ClaimDocument(Map.of());

    public ClaimDocument {
        claims = Collections.unmodifiableMap(new LinkedHashMap<>(claims));
    }

    /** Returns the claim of a key. */
    public Optional<ClaimRecord> claim(ClaimKey key) {
        return Optional.ofNullable(claims.get(key));
    }
}
