package org.cyclamenpaddle.fleet.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Fingerprint of a booking request, which distinguishes a resend from a different request with the
 * same key.
 */
public final class RequestFingerprint {

    private static final int HEX_DIGITS = 32;

    private RequestFingerprint() {}

    /**
     * Returns the first 128 bits of a SHA-256 digest, as lower-case hex.
     *
     * @param method HTTP method
     * @param pathAndQuery path and query relative to the service
     * @param body the body
     */
    public static String of(String method, String pathAndQuery, byte[] body) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        digest.update((method + " " + pathAndQuery + "\n").getBytes(StandardCharsets.UTF_8));
        digest.update(body);
        return Hex.encodeHexString(digest.digest()).substring(0, HEX_DIGITS);
    }
}
