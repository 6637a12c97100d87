package org.cyclamenpaddle.routing.silence;

/**
 * What a host knows of the activity of one backend server.
 *
 * @param busy whether the host has work there that is not complete
 * @param quietMillis time since the host last received anything from the server, or since its work
 *     there began if that is later; 0 without any work
 */
public record ServerActivity(boolean busy, long quietMillis) {

    public ServerActivity {
        if (quietMillis < 0) {
            throw new IllegalArgumentException("negative silence: " + quietMillis + " ms");
        }
    }

    /** Returns whether the server has left work unanswered for a time. */
    public boolean isSilent(long limitMillis) {
        return busy && quietMillis >= limitMillis;
    }
}
