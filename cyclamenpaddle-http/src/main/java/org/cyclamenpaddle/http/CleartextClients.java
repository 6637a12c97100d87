package org.cyclamenpaddle.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.common.TlsProvider;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import io.netty.resolver.DefaultAddressResolverGroup;

/**
 * Begins the client factories of processes that speak HTTP without encryption to IP numbers.
 *
 * <p>The library prepares every factory for encrypted connections, for name lookups and for metrics
 * of its own: it loads a native library and two security providers, and reads the host's resolver
 * files. A host uses none of it, and would do this work at each start, while callers wait for it to
 * be back.
 */
public final class CleartextClients {

    /** Offers no key, asked only if an encrypted connection is ever opened. */
    private static final class NoKeys implements TlsProvider {

        @Override
        public TlsKeyPair keyPair(String hostname) {
            return null;
        }
    }

    private CleartextClients() {}

    /** Returns a builder of a factory that looks up no names and prepares no encryption. */
    public static ClientFactoryBuilder factory() {
        return ClientFactory.builder()
                .tlsProvider(new NoKeys())
                .meterRegistry(NoopMeterRegistry.get())
                .addressResolverGroupFactory(loops -> DefaultAddressResolverGroup.INSTANCE);
    }
}
