package org.cyclamenpaddle.standins.http;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Tracks the connections of a server and can close them abruptly, like a crash. Thread-safe. */
final class OpenConnections {

    private final Set<Channel> mChannels = ConcurrentHashMap.newKeySet();

    void add(Channel channel) {
        mChannels.add(channel);
        channel.closeFuture().addListener(f -> mChannels.remove(channel));
    }

    /** Closes all connections and waits until they are closed. */
    void dropAll() {
        CompletableFuture.allOf(
                        mChannels.stream()
                                .map(OpenConnections::drop)
                                .toArray(CompletableFuture[]::new))
                .join();
    }

    /**
     * Closes a connection bypassing its channel handlers, which would wait for open streams to end.
     *
     * @return completes when the socket is closed
     */
    static CompletableFuture<Void> drop(Channel channel) {
        return CompletableFuture.runAsync(
                () -> channel.unsafe().close(channel.newPromise()), channel.eventLoop());
    }
}
