package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.WorkSize;

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
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Set<BackendId> mAvoid;
    private final Listener mListener;
    private boolean mPermitRequested;
    private boolean mClosed;

    PlainSearch(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Set<BackendId> avoid,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mAvoid = Set.copyOf(avoid);
        mListener = listener;
    }

    @Override
    public void find() {
        if (mClosed) {
            return;
        }
        long now = mRelay.clock().millis();
        Optional<Backend> backend =
                mRelay.registry().select(mRequest.service(), size(), mAvoid, now);
        if (backend.isEmpty() && mayObtainPermit(now)) {
            mPermitRequested = true;
            mRelay.permits().request(mRequest.service(), size(), mAvoid, mLoop, granted -> find());
            return;
        }
        mClosed = true;
        if (backend.isPresent()) {
            mRelay.permits().requestInAdvance(mRequest.service(), size());
        }
        mListener.found(backend);
    }

    @Override
    public void cancel() {
        mClosed = true;
    }

    private boolean mayObtainPermit(long nowMillis) {
        OptionalLong wait =
                mRelay.registry()
                        .directives()
                        .waitMillis(mRequest.service(), size(), mAvoid, nowMillis);
        return !mPermitRequested && wait.isPresent() && wait.getAsLong() <= 0;
    }

    private WorkSize size() {
        return mRequest.caller().size();
    }
}
