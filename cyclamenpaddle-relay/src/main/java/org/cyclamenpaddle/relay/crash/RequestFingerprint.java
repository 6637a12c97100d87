package org.cyclamenpaddle.relay.crash;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.RequestHeaders;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import org.cyclamenpaddle.relay.wire.CallerRequest;

/**
 * Identifies a request that its caller sends again under another id, at any host.
 *
 * <p>The fingerprint covers the method, the authority, the path, the caller's key and the body, and
 * the query of a request without a body. It is a cryptographic hash, since a caller that could
 * construct a request with the fingerprint of another one could get that one refused.
 */
public final class RequestFingerprint {

    private static final String ALGORITHM = "SHA-256";
    private static final byte SEPARATOR = 0;

    private RequestFingerprint() {}

    /** Returns the fingerprint of a request. */
    public static long of(CallerRequest caller, HttpData body) {
        RequestHeaders headers = caller.headers();
        String target = headers.path();
        int query = target.indexOf('?');
        String identity = body.isEmpty() || query < 0 ? target : target.substring(0, query);
        MessageDigest digest = digest();
        update(digest, headers.method().name());
        update(digest, String.valueOf(headers.authority()));
        update(digest, identity);
        caller.key().ifPresent(key -> key.addTo(digest));
        digest.update(SEPARATOR);
        digest.update(body.array());
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    /** Returns a hash of texts of which none contains a zero byte. */
    static long hash(String... texts) {
        MessageDigest digest = digest();
        Arrays.stream(texts).forEach(text -> update(digest, text));
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static void update(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, impossible);
        }
    }
}
