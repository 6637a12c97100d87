package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;

/**
 * Finds a server of a plain service for one request.
 *
 * <p>Where only the limits of servers prevent it, the search waits once for the response of their
 * owners, which takes a few milliseconds.
 */
final class PlainSearch implements BackendSearch {

    /** Notified of the server; empty if none can take the request now. */
    interface Listener {
        void found(Optional<Backend> backend);
    }

    private final RelayContext mRelay;
    private final EventLoop mLoop;
    private final BackendQuery mQuery;
    private final Listener mListener;
    private boolean mPermitRequested;
    private boolean mClosed;

    PlainSearch(RelayContext relay, EventLoop loop, BackendQuery query, Listener listener) {
        mRelay = relay;
        mLoop = loop;
        mQuery = query;
        mListener = listener;
    }

    @Override
    public void find() {
        if (mClosed) {
            return;
        }
        long now = mRelay.clock().millis();
        if (mQuery.binding().binds() && !mRelay.listing().isRecent()) {
            mClosed = true;
            mListener.found(Optional.empty());
            return;
        }
        Optional<Backend> backend = mRelay.registry().select(mQuery, now);
        if (backend.isEmpty() && mayObtainPermit(now)) {
            mPermitRequested = true;
            mRelay.permits().request(mQuery, mLoop, granted -> find());
            return;
        }
        mClosed = true;
        if (backend.isPresent()) {
            mRelay.permits().requestInAdvance(mQuery.service(), mQuery.size());
        }
        mListener.found(backend);
    }

    @Override
    public void cancel() {
        mClosed = true;
    }

    private boolean mayObtainPermit(long nowMillis) {
        OptionalLong wait = mRelay.registry().directives().waitMillis(mQuery, nowMillis);
        return !mPermitRequested && wait.isPresent() && wait.getAsLong() <= 0;
    }
}
