package org.cyclamenpaddle.http;

import static org.testng.Assert.assertThrows;

import java.nio.ByteBuffer;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import org.testng.annotations.Test;

/** Tests the TLS contexts that a relay's process registers in place of the JDK's. */
public class UnusedTlsTest {

    /** Failure: data sent through such a context would leave the host unencrypted. */
    @Test
    public void engineRefusesToEncryptOrToShakeHands() throws Exception {
        SSLContext context = SSLContext.getInstance("TLS", UnusedTls.provider());
        context.init(null, null, null);
        SSLEngine engine = context.createSSLEngine();
        ByteBuffer data = ByteBuffer.allocate(16);
        assertThrows(UnsupportedOperationException.class, engine::beginHandshake);
        assertThrows(UnsupportedOperationException.class, () -> engine.wrap(data, data));
        assertThrows(UnsupportedOperationException.class, () -> engine.unwrap(data, data));
        assertThrows(UnsupportedOperationException.class, context::getSocketFactory);
    }
}
