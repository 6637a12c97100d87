package org.cyclamenpaddle.fleet.claim;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.apache.commons.codec.digest.MurmurHash3;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Key of a claim: a caller's Idempotency-Key within one plain service.
 *
 * @param service the plain service
 * @param key 1 to 128 printable ASCII characters
 */
public record ClaimKey(ServiceName service, String key) {

    private static final Pattern ALLOWED = Pattern.compile("[\\x20-\\x7e]{1,128}");

    public ClaimKey {
        if (service == null || key == null || !valid(key)) {
            throw new IllegalArgumentException(
                    "key '" + key + "' of " + service + " must be 1 to 128 printable characters");
        }
    }

    /** Returns whether a caller's text is a valid key. */
    public static boolean valid(String key) {
        return ALLOWED.matcher(key).matches();
    }

    /**
     * Returns the number of the shard that stores the claim.
     *
     * @param shards total number of shards; the same on all hosts and never changed
     */
    public int shard(int shards) {
        byte[] text = (service + "/" + key).getBytes(StandardCharsets.UTF_8);
        return (int) Math.floorMod(MurmurHash3.hash128x64(text)[0], (long) shards);
    }
}
