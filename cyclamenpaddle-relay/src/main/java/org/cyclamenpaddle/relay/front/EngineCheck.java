package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpRequest;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.ServerVoice;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.BackendCaller;

/**
 * Checks whether an engine responds, for one request.
 *
 * <p>Engines report without work, so a report shows that an engine goes on. It is priced: it is
 * requested only if nothing else was received from the engine lately, and once at a time. The call
 * stays pending while the engine is silent. Runs on the event loop of the request.
 */
final class EngineCheck {

    /** Time for which what an engine sent shows that it responds, in milliseconds. */
    static final long RECENT_MILLIS = 100;

    private final RelayContext mRelay;
    private final Backend mEngine;
    private final ServerVoice mVoice;
    private final long mTimeoutMillis;
    private volatile boolean mPending;

    /**
     * Creates a check.
     *
     * @param timeoutMillis time after which a call without a response is repeated
     */
    EngineCheck(RelayContext relay, Backend engine, long timeoutMillis) {
        mRelay = relay;
        mEngine = engine;
        mVoice = relay.registry().voice(engine);
        mTimeoutMillis = timeoutMillis;
    }

    /** Returns whether the engine has responded lately; if it has not, asks it. */
    boolean responds() {
        long now = mRelay.clock().millis();
        // An engine that asks for fewer calls has responded, and a check is not worth one of them.
        if (mVoice.heardSince(now - RECENT_MILLIS)
                || mRelay.registry().directives().restricts(mEngine, now)) {
            return true;
        }
        if (!mPending) {
            ask();
        }
        return false;
    }

    /**
     * Asks an engine that counts as silent, unless a call of this host is pending there. Its
     * response ends the ejection of the engine.
     */
    void askIfSilent() {
        boolean restricted =
                mRelay.registry().directives().restricts(mEngine, mRelay.clock().millis());
        if (!restricted && mVoice.needsCall()) {
            ask();
        }
    }

    private void ask() {
        mPending = true;
        mVoice.callSent();
        mRelay.calls()
                .call(
                        mEngine,
                        new BackendCaller.Options(
                                true, mTimeoutMillis, BackendCaller.Purpose.CHECK, "report"),
                        HttpRequest.of(mRelay.engineMessages().report(mEngine)))
                .whenComplete(
                        (response, failure) -> {
                            mVoice.callEnded();
                            if (failure == null) {
                                mRelay.registry().recordHeard(mEngine, mRelay.clock().millis());
                            } else {
                                mRelay.log().log(RelayEvent.REPORT_FAILED, mEngine.id(), failure);
                            }
                            mPending = false;
                        });
    }
}
