package org.cyclamenpaddle.http;

import java.security.Provider;
import java.security.SecureRandom;
import java.security.Security;
import java.util.List;
import java.util.Map;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContextSpi;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLServerSocketFactory;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManager;

/**
 * Provides TLS contexts that cost nothing to build and open no connection.
 *
 * <p>Armeria builds four TLS contexts for two client factories of its own, which the relay never
 * uses; neither can be disabled. With the providers of the JDK this takes about a tenth of the
 * processor time of a start, while callers wait for the host to return. A relay opens no TLS
 * connection. If it did, the connection would fail with {@link UnsupportedOperationException}
 * instead of being unencrypted.
 */
public final class UnusedTls {

    /** The one cipher suite that Armeria requires of a context. */
    static final String CIPHER_SUITE = "TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256";

    static final String PROTOCOL = "TLSv1.2";

    private static final String ENTRY = "security.provider.";

    private static final class UnusedTlsProvider extends Provider {

        private static final long serialVersionUID = 1;

        private UnusedTlsProvider() {
            super("UnusedTls", "1", "TLS contexts that open no connection");
            putService(
                    new Service(
                            this,
                            "SSLContext",
                            "TLS",
                            UnusedContext.class.getName(),
                            List.of(),
                            Map.of()) {
                        @Override
                        public Object newInstance(Object parameter) {
                            return new UnusedContext();
                        }
                    });
        }
    }

    private static final class UnusedContext extends SSLContextSpi {

        @Override
        protected void engineInit(KeyManager[] keys, TrustManager[] trust, SecureRandom random) {
            // Keys and certificates are never used.
        }

        @Override
        protected SSLEngine engineCreateSSLEngine() {
            return new UnusedTlsEngine();
        }

        @Override
        protected SSLEngine engineCreateSSLEngine(String host, int port) {
            return new UnusedTlsEngine();
        }

        @Override
        protected SSLParameters engineGetDefaultSSLParameters() {
            return engineGetSupportedSSLParameters();
        }

        @Override
        protected SSLParameters engineGetSupportedSSLParameters() {
            return new SSLParameters(new String[] {CIPHER_SUITE}, new String[] {PROTOCOL});
        }

        @Override
        protected SSLSocketFactory engineGetSocketFactory() {
            throw new UnsupportedOperationException("TLS is not used");
        }

        @Override
        protected SSLServerSocketFactory engineGetServerSocketFactory() {
            throw new UnsupportedOperationException("TLS is not used");
        }

        @Override
        protected SSLSessionContext engineGetServerSessionContext() {
            return null;
        }

        @Override
        protected SSLSessionContext engineGetClientSessionContext() {
            return null;
        }
    }

    private UnusedTls() {}

    /**
     * Replaces the security providers of this process by the JDK's first one, which provides
     * digests and random numbers, and by contexts that are never used.
     *
     * <p>The others would all be loaded, because Armeria asks for the list of providers. Has to be
     * called before the first use of a security provider.
     */
    public static void install() {
        String first = Security.getProperty(ENTRY + 1);
        for (int i = 2; Security.getProperty(ENTRY + i) != null; i++) {
            // An entry cannot be removed, but a repeated one is ignored.
            Security.setProperty(ENTRY + i, first);
        }
        Security.addProvider(provider());
    }

    /** Returns the provider of the unused contexts. */
    static Provider provider() {
        return new UnusedTlsProvider();
    }
}
