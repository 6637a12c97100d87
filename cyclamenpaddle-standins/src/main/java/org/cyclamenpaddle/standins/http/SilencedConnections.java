package org.cyclamenpaddle.standins.http;

import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Connections that stay open but transfer no more data. */
public final class SilencedConnections {

    private final Set<Channel> mSilenced = ConcurrentHashMap.newKeySet();

    /** Permanently silences the connection of a request. */
    public void silence(ServiceRequestContext ctx) {
        channel(ctx)
                .ifPresent(
                        channel -> {
                            mSilenced.add(channel);
                            channel.closeFuture().addListener(f -> mSilenced.remove(channel));
                        });
    }

    /** Returns whether the connection of a request is silenced. */
    public boolean silenced(ServiceRequestContext ctx) {
        return !mSilenced.isEmpty() && channel(ctx).map(mSilenced::contains).orElse(false);
    }

    private static Optional<Channel> channel(ServiceRequestContext ctx) {
        return ctx.log().isAvailable(RequestLogProperty.SESSION)
                ? Optional.ofNullable(
                        ctx.log().ensureAvailable(RequestLogProperty.SESSION).channel())
                : Optional.empty();
    }
}
