package org.cyclamenpaddle.core.id;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream over the attempts of its caller, by the attempt that brought its first event.
 *
 * <p>A hash, so that its size is bounded whatever a caller sends, and no log shows what that was.
 * The service is a part of it: an attempt that went to another service began another stream.
 *
 * @param hash first 64 bits of a SHA-256
 */
public record StreamKey(long hash) {

    private static final String ALGORITHM = "SHA-256";
    private static final byte SEPARATOR = 0;

    /** Returns the key of the stream that an attempt has begun at a service. */
    public static StreamKey of(ServiceName service, String firstAttempt) {
        MessageDigest digest = digest();
        digest.update(service.value().getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
        digest.update(firstAttempt.getBytes(StandardCharsets.UTF_8));
        return new StreamKey(ByteBuffer.wrap(digest.digest()).getLong());
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, impossible);
        }
    }

    // Written out, because linking the generated methods costs processor time at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof StreamKey that && hash == that.hash;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash);
    }

    /** Returns the key as written in logs. */
    @Override
    public String toString() {
        return Long.toHexString(hash);
    }
}
