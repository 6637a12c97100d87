package org.cyclamenpaddle.peer.net;

/**
 * Settings of the connections between hosts; times in milliseconds.
 *
 * @param ioThreads threads that serve all connections
 * @param connectMillis longest wait for a connection with its {@code Hello}
 * @param minBackoffMillis wait after a first failed connect
 * @param maxBackoffMillis longest wait after failed connects, each doubling the one before
 * @param silentMillis when nothing came on an outgoing connection for so long, the other end is
 *     asked for a sign of life, and the connection replaced if none comes for as long again
 * @param idleMillis when nothing was sent on an outgoing connection for so long, it is closed
 * @param maxQueuedFrames frames to one host that wait for a connection at most
 * @param maxQueuedMillis longest time that a frame waits for a connection
 * @param maxIncoming incoming connections at most
 */
public record PeerSettings(
        int ioThreads,
        long connectMillis,
        long minBackoffMillis,
        long maxBackoffMillis,
        long silentMillis,
        long idleMillis,
        int maxQueuedFrames,
        long maxQueuedMillis,
        int maxIncoming) {

    /** Settings for a fleet of some hundred hosts. */
    public static final PeerSettings DEFAULT =
            new PeerSettings(2, 500, 50, 2_000, 2_000, 30_000, 1_024, 1_000, 2_048);

    public PeerSettings {
        if (ioThreads < 1 || maxQueuedFrames < 1 || maxIncoming < 1) {
            throw new IllegalArgumentException(
                    "threads %d, queued frames %d and incoming connections %d must be above 0"
                            .formatted(ioThreads, maxQueuedFrames, maxIncoming));
        }
        if (connectMillis < 1 || silentMillis < 1 || idleMillis < 1 || maxQueuedMillis < 1) {
            throw new IllegalArgumentException(
                    "connect %d, silent %d, idle %d and queued time %d ms must be above 0"
                            .formatted(connectMillis, silentMillis, idleMillis, maxQueuedMillis));
        }
        if (minBackoffMillis < 1 || maxBackoffMillis < minBackoffMillis) {
            throw new IllegalArgumentException(
                    "backoff of %d to %d ms is no range"
                            .formatted(minBackoffMillis, maxBackoffMillis));
        }
    }
}
