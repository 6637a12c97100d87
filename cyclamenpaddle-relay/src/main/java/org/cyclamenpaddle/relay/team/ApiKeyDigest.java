package org.cyclamenpaddle.relay.team;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 digest of an API key.
 *
 * <p>Keys are stored and compared by their digests only. No key can then be printed with an object
 * that refers to it, and the time of a lookup reveals nothing about the keys that exist.
 */
public final class ApiKeyDigest {

    private static final String ALGORITHM = "SHA-256";

    private final byte[] mDigest;

    private ApiKeyDigest(byte[] digest) {
        mDigest = digest;
    }

    /**
     * Returns the digest of a key.
     *
     * @param key key as the caller or the configuration contains it; not blank
     */
    public static ApiKeyDigest of(String key) {
        if (key == null || key.isBlank()) {
            throw new IllegalArgumentException("API key is blank");
        }
        try {
            byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
            return new ApiKeyDigest(MessageDigest.getInstance(ALGORITHM).digest(bytes));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, impossible);
        }
    }

    /** Adds this digest to the input of another one. */
    public void addTo(MessageDigest digest) {
        digest.update(mDigest);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKeyDigest digest
                && MessageDigest.isEqual(mDigest, digest.mDigest);
    }

    @Override
    public int hashCode() {
        return ByteBuffer.wrap(mDigest).getInt();
    }

    @Override
    public String toString() {
        return "[API key]";
    }
}
