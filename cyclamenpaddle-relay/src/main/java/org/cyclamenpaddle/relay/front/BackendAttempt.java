package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpStatus;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.PromptHandle;

/** One send of a request to the backend server that runs it, up to its typed outcome. */
final class BackendAttempt implements ExchangeListener {

    /** Told the outcome, once, unless the send was cancelled or given up. */
    interface EndListener {
        void ended(SendOutcome outcome, String cause);
    }

    /**
     * What a send is bound by.
     *
     * @param promptReadElsewhere whether no prompt has to be read by the server
     * @param othersLeft whether another server could still be asked after a silence
     * @param connection what connection carries it
     * @param sentOnceMore told before the server is sent the request a second time
     */
    record Terms(
            boolean promptReadElsewhere,
            boolean othersLeft,
            Connection connection,
            Runnable sentOnceMore) {}

    /** What connection carries a send. */
    enum Connection {
        /** One of its own: a failed connect proves that nothing was sent. */
        NEW,
        /** A kept one that has just carried an answer of the same server. */
        PROVEN,
        /** A kept one that may have been closed meanwhile; for requests that may be repeated. */
        KEPT
    }

    /**
     * Statuses that promise a caller that its request never ran.
     *
     * <p>Safeguard: a server that answers one of them without saying that it did not run the
     * request may have run it. Passed on, the caller would send it again, and it would run twice.
     */
    private static final Set<HttpStatus> PROMISES =
            Set.of(
                    HttpStatus.REQUEST_TIMEOUT,
                    HttpStatus.MISDIRECTED_REQUEST,
                    HttpStatus.TOO_MANY_REQUESTS,
                    HttpStatus.SERVICE_UNAVAILABLE);

    /** Multiple of the target after which a silent server is given up for another one. */
    private static final double PATIENCE_TARGETS = 2.5;

    /** Share of the time left that may be spent on one server while others could still be asked. */
    private static final double PATIENCE_SHARE = 0.45;

    /**
     * Share of a bearable silence after which a resumable stream goes on elsewhere: late, but while
     * its caller still waits.
     */
    private static final double STREAM_PAUSE_SHARE = 0.4;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final BackendCall mCall;
    private final CallerAnswer mAnswer;
    private final EndListener mEndListener;
    private final long mStartMillis;
    private EventLoop mLoop;
    private BackendExchange mExchange;
    private Optional<ScheduledFuture<?>> mPatience = Optional.empty();
    private BackendResponse mHead;
    private final boolean mOthersLeft;
    private final Runnable mSentOnceMore;
    private Connection mConnection;
    private boolean mPromptRead;
    private boolean mFlowing;
    private boolean mEnded;

    BackendAttempt(
            RelayContext relay,
            RelayRequest request,
            BackendCall call,
            CallerAnswer answer,
            Terms terms,
            EndListener endListener) {
        mRelay = relay;
        mRequest = request;
        mCall = call;
        mAnswer = answer;
        mPromptRead = terms.promptReadElsewhere();
        mOthersLeft = terms.othersLeft();
        mConnection = terms.connection();
        mSentOnceMore = terms.sentOnceMore();
        mEndListener = endListener;
        mStartMillis = relay.clock().millis();
    }

    void start(EventLoop loop) {
        mLoop = loop;
        waitFor(patienceMillis());
        open();
    }

    private void open() {
        boolean kept = mConnection != Connection.NEW;
        mExchange =
                BackendExchange.send(
                        mRelay.connections().client(target().address(), target().port(), kept),
                        mRelay.backendMessages().request(mRequest.caller(), mCall),
                        mRequest.body(),
                        mRelay.backendMessages(),
                        mLoop,
                        this);
        mExchange.listen();
    }

    /** Ends the send because the caller has gone. */
    void cancel() {
        mExchange.cancel();
        close(SendOutcome.ABANDONED, "caller gone");
    }

    /** Ends the send because no time is left, and returns how far it had come. */
    SendOutcome giveUp() {
        SendOutcome outcome = silence(mExchange.cancel());
        close(mFlowing ? SendOutcome.ABANDONED : outcome, "no time left");
        return outcome;
    }

    /** Returns the prompt that was read for this send. */
    Optional<PromptHandle> prompt() {
        return mCall.prompt();
    }

    long spentMillis() {
        return mRelay.clock().millis() - mStartMillis;
    }

    @Override
    public void head(BackendResponse head) {
        mHead = head;
        if (head.notRun()) {
            mExchange.cancel();
            end(
                    head.misdirected() ? SendOutcome.MISDIRECTED : SendOutcome.REJECTED,
                    "status " + head.headers().status().code());
        } else if (!ownAnswer(head)) {
            // The connection carries another request's answer, or bytes of no server's making.
            // Neither may reach the caller, and what became of the request nobody can tell.
            mExchange.cancel();
            end(
                    SendOutcome.UNKNOWN,
                    "answer of status "
                            + head.headers().status().code()
                            + " for "
                            + head.requestId().orElse("no request"));
        } else {
            mAnswer.head(head);
            if (!mRequest.route().kind().streams()) {
                answered();
            }
            mExchange.more();
        }
    }

    @Override
    public void data(HttpData data) {
        if (mRequest.route().kind().streams() && mHead.success()) {
            answered();
            waitFor((long) (mRequest.route().silenceMillis() * STREAM_PAUSE_SHARE));
        }
        if (mHead.success() || !mAnswer.isForwarding()) {
            mAnswer.data(data, mRelay.clock().millis(), this::more);
        } else {
            mExchange.more();
        }
    }

    @Override
    public void complete() {
        end(
                mHead.success() ? SendOutcome.SUCCEEDED : SendOutcome.FAILED,
                "status " + mHead.headers().status().code());
    }

    @Override
    public void failed(SendOutcome outcome, Throwable cause) {
        if (mayHaveBeenStale(outcome) && mRelay.budget().tryTake(mRequest.service())) {
            mConnection = Connection.NEW;
            mSentOnceMore.run();
            open();
        } else {
            end(outcome, String.valueOf(cause));
        }
    }

    /**
     * Returns whether the connection may have been closed before the request was written to it.
     *
     * <p>Safeguard: servers drop idle connections, some without notice, and what is written next
     * meets a reset. Counted as the server's failure, a healthy server would be left out. A new
     * connection shows which it was; only requests that may be repeated are sent so.
     */
    private boolean mayHaveBeenStale(SendOutcome outcome) {
        return mConnection == Connection.KEPT && mHead == null && outcome == SendOutcome.UNKNOWN;
    }

    private void more() {
        if (mLoop.inEventLoop()) {
            mExchange.more();
        } else {
            mLoop.execute(mExchange::more);
        }
    }

    private boolean ownAnswer(BackendResponse head) {
        boolean named = head.requestId().map(mRequest.caller().id()::equals).orElse(false);
        boolean misleading = PROMISES.contains(head.headers().status());
        return named && head.signed() && !misleading;
    }

    private void answered() {
        if (mFlowing) {
            return;
        }
        mFlowing = true;
        long now = mRelay.clock().millis();
        mPatience.ifPresent(timer -> timer.cancel(false));
        mRelay.board().recordFirstByte(target(), explainedSize(), now - mStartMillis, now);
        if (!mPromptRead) {
            mPromptRead = true;
            mRelay.board().recordPrefillDone(target(), mRequest.caller().size());
        }
    }

    private WorkSize explainedSize() {
        return mPromptRead ? WorkSize.PLAIN : mRequest.caller().size();
    }

    private long patienceMillis() {
        double targets = mRequest.route().targetMillis() * PATIENCE_TARGETS;
        return (long) Math.min(targets, mCall.remainingMillis() * PATIENCE_SHARE);
    }

    /** Gives a server up after a silence, where the request may be sent to another one. */
    private void waitFor(long millis) {
        mPatience.ifPresent(timer -> timer.cancel(false));
        mPatience =
                mOthersLeft
                        ? Optional.of(
                                mLoop.schedule(() -> silent(millis), millis, TimeUnit.MILLISECONDS))
                        : Optional.empty();
    }

    private void silent(long millis) {
        if (!mEnded) {
            SendOutcome outcome = silence(mExchange.cancel());
            end(outcome, "silent for " + millis + " ms");
        }
    }

    /** A connection that was had, and on which nothing came, is no broken one. */
    private static SendOutcome silence(SendOutcome cancelled) {
        return cancelled == SendOutcome.UNKNOWN ? SendOutcome.SILENT : cancelled;
    }

    private void end(SendOutcome outcome, String cause) {
        if (mEnded) {
            return;
        }
        close(outcome, cause);
        mEndListener.ended(outcome, cause);
    }

    private void close(SendOutcome outcome, String cause) {
        mEnded = true;
        mPatience.ifPresent(timer -> timer.cancel(false));
        boolean ejected =
                mRelay.board()
                        .recordOutcome(
                                target(),
                                mRequest.caller().size(),
                                mPromptRead,
                                outcome,
                                mRelay.clock().millis());
        if (ejected) {
            mRelay.log().log(RelayEvent.BACKEND_EJECTED, target().id(), outcome, cause);
        }
    }

    Backend target() {
        return mCall.target();
    }
}
