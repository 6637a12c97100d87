package org.cyclamenpaddle.standins.http;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Connections of one server, which can be dropped as a crash drops them. Thread-safe. */
final class OpenConnections {

    private final Set<Channel> mChannels = ConcurrentHashMap.newKeySet();

    void add(Channel channel) {
        mChannels.add(channel);
        channel.closeFuture().addListener(f -> mChannels.remove(channel));
    }

    /** Drops all connections; returns when they are closed. */
    void dropAll() {
        CompletableFuture.allOf(
                        mChannels.stream()
                                .map(OpenConnections::drop)
                                .toArray(CompletableFuture[]::new))
                .join();
    }

    /**
     * Closes a connection past its handlers, which would wait for the streams in it to end.
     *
     * @return completes when the socket is closed
     */
    static CompletableFuture<Void> drop(Channel channel) {
        return CompletableFuture.runAsync(
                () -> channel.unsafe().close(channel.newPromise()), channel.eventLoop());
    }
}
