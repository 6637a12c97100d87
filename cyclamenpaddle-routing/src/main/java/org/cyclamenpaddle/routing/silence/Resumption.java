package org.cyclamenpaddle.routing.silence;

import java.util.OptionalLong;

/**
 * Time that a request gives its silent server once that responds to others again, because it may
 * not have got to this one yet. Not thread-safe.
 */
public final class Resumption {

    private OptionalLong mSinceMillis = OptionalLong.empty();
    private long mRespondedMillis;

    /**
     * Returns whether the request waits for its server.
     *
     * <p>A server that responds to others now and then, with less than a limit between, has resumed
     * once. Otherwise its requests would wait again with each of these responses.
     *
     * @param responds whether the server has responded to others shortly before
     * @param limitMillis time from which the server counts as silent
     * @param nowMillis current time of the steady clock
     */
    public boolean waits(boolean responds, long limitMillis, long nowMillis) {
        if (!responds) {
            return false;
        }
        if (mSinceMillis.isEmpty() || nowMillis - mRespondedMillis >= limitMillis) {
            mSinceMillis = OptionalLong.of(nowMillis);
        }
        mRespondedMillis = nowMillis;
        return nowMillis - mSinceMillis.getAsLong() < SilenceLimits.resumeMillis(limitMillis);
    }
}
