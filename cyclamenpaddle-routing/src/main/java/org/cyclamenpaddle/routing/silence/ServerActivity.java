package org.cyclamenpaddle.routing.silence;

/**
 * What a host knows of the activity of one backend server.
 *
 * @param busy whether the host has work there that is not complete
 * @param workMillis time since that work began; 0 without any
 * @param quietMillis time since the host last received anything from the server
 */
public record ServerActivity(boolean busy, long workMillis, long quietMillis) {

    public ServerActivity {
        if (workMillis < 0 || quietMillis < 0) {
            throw new IllegalArgumentException(
                    "negative time: " + workMillis + " ms, " + quietMillis + " ms");
        }
    }

    /** Returns whether the server has left work unanswered for a time. */
    public boolean isSilent(long limitMillis) {
        return busy && Math.min(workMillis, quietMillis) >= limitMillis;
    }

    /** Returns whether the host has received anything from the server within a time. */
    public boolean isHeard(long limitMillis) {
        return quietMillis < limitMillis;
    }
}
