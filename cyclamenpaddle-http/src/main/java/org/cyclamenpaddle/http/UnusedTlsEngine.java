package org.cyclamenpaddle.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BiFunction;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLSession;

/** TLS engine that can be configured, but neither starts a handshake nor accepts data. */
final class UnusedTlsEngine extends SSLEngine {

    @Override
    public SSLEngineResult wrap(ByteBuffer[] sources, int offset, int length, ByteBuffer target) {
        throw unsupported();
    }

    @Override
    public SSLEngineResult unwrap(ByteBuffer source, ByteBuffer[] targets, int offset, int length) {
        throw unsupported();
    }

    @Override
    public void beginHandshake() {
        throw unsupported();
    }

    @Override
    public SSLSession getSession() {
        throw unsupported();
    }

    @Override
    public Runnable getDelegatedTask() {
        return null;
    }

    @Override
    public void closeInbound() {
        // Nothing was opened.
    }

    @Override
    public boolean isInboundDone() {
        return true;
    }

    @Override
    public void closeOutbound() {
        // Nothing was opened.
    }

    @Override
    public boolean isOutboundDone() {
        return true;
    }

    @Override
    public HandshakeStatus getHandshakeStatus() {
        return HandshakeStatus.NOT_HANDSHAKING;
    }

    @Override
    public String[] getSupportedCipherSuites() {
        return new String[] {UnusedTls.CIPHER_SUITE};
    }

    @Override
    public String[] getEnabledCipherSuites() {
        return new String[] {UnusedTls.CIPHER_SUITE};
    }

    @Override
    public void setEnabledCipherSuites(String[] suites) {
        // There is only one.
    }

    @Override
    public String[] getSupportedProtocols() {
        return new String[] {UnusedTls.PROTOCOL};
    }

    @Override
    public String[] getEnabledProtocols() {
        return new String[] {UnusedTls.PROTOCOL};
    }

    @Override
    public void setEnabledProtocols(String[] protocols) {
        // There is only one.
    }

    @Override
    public void setUseClientMode(boolean client) {
        // No handshake is ever started.
    }

    @Override
    public boolean getUseClientMode() {
        return true;
    }

    @Override
    public void setNeedClientAuth(boolean need) {
        // No handshake is ever started.
    }

    @Override
    public boolean getNeedClientAuth() {
        return false;
    }

    @Override
    public void setWantClientAuth(boolean want) {
        // No handshake is ever started.
    }

    @Override
    public boolean getWantClientAuth() {
        return false;
    }

    @Override
    public void setEnableSessionCreation(boolean enabled) {
        // No session is ever created.
    }

    @Override
    public boolean getEnableSessionCreation() {
        return false;
    }

    @Override
    public String getApplicationProtocol() {
        return null;
    }

    @Override
    public String getHandshakeApplicationProtocol() {
        return null;
    }

    @Override
    public void setHandshakeApplicationProtocolSelector(
            BiFunction<SSLEngine, List<String>, String> selector) {
        // No handshake is ever started.
    }

    @Override
    public BiFunction<SSLEngine, List<String>, String> getHandshakeApplicationProtocolSelector() {
        return null;
    }

    private static UnsupportedOperationException unsupported() {
        return new UnsupportedOperationException("TLS is not used");
    }
}
