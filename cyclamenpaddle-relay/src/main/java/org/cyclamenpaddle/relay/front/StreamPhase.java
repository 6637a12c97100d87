package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.cyclamenpaddle.relay.resume.StreamEvent;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/**
 * Finds out at which software version the stream of one request began, and records where it begins.
 *
 * <p>Runs on the event loop of the caller's connection.
 */
final class StreamPhase {

    /** Reason for which a stream is not resumed. */
    enum Refusal {
        VERSION_UNKNOWN(StreamEvent.VERSION_UNKNOWN, "software version of the stream is not known"),
        VERSION_GONE(
                StreamEvent.VERSION_GONE, "no other server of the software version of the stream"),
        VERSION_UNPROVED(
                StreamEvent.VERSION_UNPROVED, "software versions of the servers are not certain");

        private final StreamEvent mEvent;
        private final String mReason;

        Refusal(StreamEvent event, String reason) {
            mEvent = event;
            mReason = reason;
        }

        String reason() {
            return mReason;
        }
    }

    /** Notified of the versions at which a stream may go on. */
    interface Listener {
        /**
         * Called once.
         *
         * @param millis how long it took to find out
         */
        void found(StreamBinding binding, long millis);
    }

    /**
     * Time after which the caller of a stream that is not resumed may return, in milliseconds:
     * waiting would not help, as it can begin anew at once.
     */
    private static final long RETRY_MILLIS = 100;

    /**
     * Time for which a beginning is remembered, as a multiple of the route's timeout: the attempt
     * that begins it may last that long, and the next one may take as long to arrive.
     */
    private static final int RETENTION_TIMEOUTS = 2;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private Optional<SoftwareVersion> mBegan = Optional.empty();
    private boolean mRefused;
    private boolean mCancelled;

    StreamPhase(RelayContext relay, RelayRequest request, EventLoop loop) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
    }

    /** Returns whether {@link #find} must be called before the request is sent. */
    boolean isRequired() {
        return mRequest.ofOwnCaller() && mRequest.takesUpStream();
    }

    /**
     * Finds the versions at which the stream may go on.
     *
     * @param listener notified unless the phase is cancelled
     */
    void find(Listener listener) {
        long startMillis = mRelay.clock().millis();
        Optional<StreamKey> stream = mRequest.streamKey();
        if (stream.isEmpty()) {
            found(Optional.empty(), startMillis, listener);
            return;
        }
        mRelay.streams()
                .find(
                        stream.get(),
                        millis -> task -> mLoop.schedule(task, millis, TimeUnit.MILLISECONDS))
                .thenAcceptAsync(version -> found(version, startMillis, listener), mLoop);
    }

    private void found(Optional<SoftwareVersion> version, long startMillis, Listener listener) {
        if (!mCancelled) {
            listener.found(StreamBinding.to(version), mRelay.clock().millis() - startMillis);
        }
    }

    /**
     * Returns whether it is certain of which software version a server is that is chosen now: an
     * engine says with its reservation which process it is, all else follows from the listing.
     */
    boolean showsVersions() {
        return mRequest.engine().isPresent() || mRelay.listing().isRecent();
    }

    /** Records that the caller gets events from now on, of a version that may not be certain. */
    void began(StreamBinding binding) {
        mBegan = binding.version();
        mRelay.metrics()
                .recordStream(mBegan.isPresent() ? StreamEvent.BEGUN : StreamEvent.BEGUN_UNPROVED);
        record();
    }

    /** Tells other hosts once more, before the caller comes back to one of them. */
    void brokenOff() {
        record();
    }

    private void record() {
        boolean mayBeTakenUp = mRequest.ofOwnCaller() && mRequest.route().repeatable();
        if (!mayBeTakenUp) {
            return;
        }
        long retentionMillis = RETENTION_TIMEOUTS * mRequest.route().timeoutMillis();
        List<StreamKey> keys =
                Stream.concat(
                                mRequest.streamKey().stream(),
                                Stream.of(StreamKey.of(mRequest.service(), mRequest.caller().id())))
                        .distinct()
                        .toList();
        mBegan.ifPresent(
                version ->
                        mRelay.streams()
                                .record(
                                        keys.stream()
                                                .map(
                                                        key ->
                                                                new StreamBeginning(
                                                                        key,
                                                                        version,
                                                                        retentionMillis))
                                                .toList()));
    }

    /** Records that the stream is not resumed, and returns the reason for logs. */
    String refused(Refusal refusal) {
        mRefused = true;
        mRelay.metrics().recordStream(refusal.mEvent);
        return refusal.reason();
    }

    /** Returns the time after which the caller may return; empty if the stream was not refused. */
    OptionalLong retryMillis() {
        return mRefused ? OptionalLong.of(RETRY_MILLIS) : OptionalLong.empty();
    }

    /** Ends the phase; nothing is called any more. */
    void cancel() {
        mCancelled = true;
    }
}
