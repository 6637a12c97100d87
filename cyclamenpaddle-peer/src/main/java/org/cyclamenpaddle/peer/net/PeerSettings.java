package org.cyclamenpaddle.peer.net;

/**
 * Settings of the connections between hosts; times in milliseconds.
 *
 * @param ioThreads I/O threads that serve all connections
 * @param connectMillis timeout of a connection attempt, including its {@code Hello}
 * @param minBackoffMillis delay after a first failed connection attempt
 * @param maxBackoffMillis upper bound of the delay, which doubles with each failed attempt
 * @param silentMillis after this time without a received frame, a liveness check is sent on an
 *     outgoing connection, which is replaced if no frame is received within the same time again
 * @param idleMillis an outgoing connection on which nothing was sent for this time is closed
 * @param maxQueuedFrames maximum number of frames to one host that wait for a connection
 * @param maxQueuedMillis maximum time that a frame waits for a connection
 * @param maxIncoming maximum number of incoming connections
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

    /** Default settings, for a fleet of some hundred hosts. */
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
                    "backoff range of %d to %d ms must be ascending and above 0"
                            .formatted(minBackoffMillis, maxBackoffMillis));
        }
    }
}
