package org.cyclamenpaddle.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.common.TlsProvider;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.resolver.DefaultAddressResolverGroup;

/**
 * Creates builders of HTTP client factories for cleartext connections to IP addresses.
 *
 * <p>By default the library prepares every factory for TLS, for name resolution and for metrics of
 * its own: it loads a native library and two security providers, and reads the host's resolver
 * files. A host needs none of this, and it would delay each start, while callers wait for the host
 * to return.
 */
public final class CleartextClients {

    /**
     * Bytes of a request that the kernel takes before they are on their way. By default it takes
     * megabytes, and a request looks as if it had been sent of which the server has got little:
     * when the server closes the connection, it may have responded to a part of the request.
     */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    /** Provides no key; called only if a TLS connection is opened. */
    private static final class NoKeys implements TlsProvider {

        @Override
        public TlsKeyPair keyPair(String hostname) {
            return null;
        }
    }

    private CleartextClients() {}

    /**
     * Returns a builder of a factory without TLS, name resolution and metrics. Whoever replaces the
     * customizer of its pipelines calls {@link #prepare} in the new one.
     */
    public static ClientFactoryBuilder factory() {
        return ClientFactory.builder()
                .tlsProvider(new NoKeys())
                .meterRegistry(NoopMeterRegistry.get())
                .channelOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, CleartextClients::prepare)
                .addressResolverGroupFactory(loops -> DefaultAddressResolverGroup.INSTANCE);
    }

    /** Adds what all clients need to the pipeline of a channel that is about to connect. */
    public static void prepare(ChannelPipeline pipeline) {
        StrictClientCodec.install(pipeline);
        ConnectTimeout.install(pipeline);
    }
}
