package org.cyclamenpaddle.routing.buffer;

import java.util.ArrayList;
import java.util.List;

/**
 * Responses to slow callers in virtual time.
 *
 * <p>The server sends at once whatever is read, and aborts a response of which nothing was read for
 * {@link #SERVER_PATIENCE_MILLIS} although a part was left.
 */
final class SlowReaderModel {

    static final long SERVER_PATIENCE_MILLIS = 1_000;
    private static final long STEP_MILLIS = 10;

    /** A response that its caller takes one part after the other. */
    private final class Response {

        private final RequestBytes mBytes = mAccount.newRequest();
        private final long mPartMillis;
        private final long mLeaveMillis;
        private final List<Long> mQueue = new ArrayList<>();
        private long mLeft;
        private long mReadMillis;
        private long mTakenMillis;
        private boolean mEnded;

        Response(long length, long partMillis, long leaveMillis) {
            mLeft = length;
            mPartMillis = partMillis;
            mLeaveMillis = leaveMillis;
        }

        void step(long now) {
            if (mEnded) {
                return;
            }
            if (!mQueue.isEmpty() && now - mTakenMillis >= mPartMillis) {
                mTakenMillis = now;
                mBytes.delivered(mQueue.remove(0));
            }
            while (mLeft > 0 && mBytes.tryReadNext()) {
                long part = Math.min(mLeft, RequestBytes.PART_BYTES);
                mBytes.received(part);
                mBytes.queued(part);
                mQueue.add(part);
                mLeft -= part;
                mReadMillis = now;
            }
            boolean aborted = mLeft > 0 && now - mReadMillis >= SERVER_PATIENCE_MILLIS;
            if (aborted) {
                mAborted++;
            } else if (mLeft == 0 && mQueue.isEmpty()) {
                mComplete++;
            }
            if (aborted || mLeft == 0 && mQueue.isEmpty() || now >= mLeaveMillis) {
                mEnded = true;
                mBytes.close();
            }
        }
    }

    private final ByteAccount mAccount;
    private final List<Response> mResponses = new ArrayList<>();
    private long mMostHeld;
    private int mAborted;
    private int mComplete;
    private int mRefused;

    SlowReaderModel(ByteAccount account) {
        mAccount = account;
    }

    /** Adds a response; its request is refused if it does not fit. */
    void add(long length, long partMillis, long leaveMillis) {
        Response response = new Response(length, partMillis, leaveMillis);
        if (response.mBytes.tryAdmit(0)) {
            mResponses.add(response);
        } else {
            mRefused++;
        }
    }

    /** Runs until all responses have ended. */
    void run() {
        for (long now = 0; running(); now += STEP_MILLIS) {
            long millis = now;
            mResponses.forEach(
                    response -> {
                        response.step(millis);
                        mMostHeld = Math.max(mMostHeld, mAccount.held());
                    });
        }
    }

    private boolean running() {
        return mResponses.stream().anyMatch(response -> !response.mEnded);
    }

    long mostHeld() {
        return mMostHeld;
    }

    int aborted() {
        return mAborted;
    }

    int complete() {
        return mComplete;
    }

    int refused() {
        return mRefused;
    }
}
