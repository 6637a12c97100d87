package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.PromptHandle;

/** Has one prompt read by a prefill engine; a failure here never means that the request ran. */
final class PrefillExchange implements ExchangeListener {

    /**
     * Share of a bearable silence for which an engine is waited for that answers nothing.
     *
     * <p>Safeguard: an engine that went dark would hold the request until its timeout. Given up
     * sooner, prompts that merely queue would be read once more, at decode engines, where they
     * break the streams of all that run there. After it, reading at the runner still ends before
     * the caller leaves.
     */
    private static final double SILENT_SHARE = 0.25;

    /**
     * Share of a bearable silence for which an engine is waited for that goes on answering others.
     *
     * <p>Safeguard: after a loss of power all hosts bring their callers at once, and prompts queue
     * for a second at engines that are well. Given up, what was read of them is lost, and they are
     * read once more where they delay generations.
     */
    private static final double QUEUE_SHARE = 0.6;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final Backend mReader;
    private final Consumer<Optional<PromptHandle>> mDone;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final long mStartMillis;
    private EventLoop mLoop;
    private long mLeftMillis;
    private boolean mKept;
    private ScheduledFuture<?> mPatience;
    private BackendExchange mExchange;
    private BackendResponse mAnswer;
    private boolean mEnded;
    private boolean mRejected;

    /**
     * Creates a reading.
     *
     * @param done told the handle, or nothing if the prompt was not read; not after a cancel
     */
    PrefillExchange(
            RelayContext relay,
            RelayRequest request,
            Backend reader,
            Consumer<Optional<PromptHandle>> done) {
        mRelay = relay;
        mRequest = request;
        mReader = reader;
        mDone = done;
        mStartMillis = relay.clock().millis();
    }

    void start(EventLoop loop, long leftMillis) {
        mLoop = loop;
        mLeftMillis = leftMillis;
        mPatience = loop.schedule(this::tooLong, patienceMillis(), TimeUnit.MILLISECONDS);
        open(true);
    }

    private void open(boolean kept) {
        mKept = kept;
        BackendCall call =
                new BackendCall(
                        mReader,
                        mLeftMillis,
                        true,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty());
        mExchange =
                BackendExchange.send(
                        mRelay.connections().client(mReader.address(), mReader.port(), kept),
                        mRelay.backendMessages().request(mRequest.caller(), call),
                        mRequest.body(),
                        mRelay.backendMessages(),
                        mLoop,
                        this);
        mExchange.listen();
    }

    /** Returns whether the engine answered that it did not take the prompt. */
    boolean rejected() {
        return mRejected;
    }

    /** Ends the reading because the request has ended. */
    void cancel() {
        if (!mEnded) {
            mExchange.cancel();
            end(SendOutcome.ABANDONED);
        }
    }

    @Override
    public void head(BackendResponse answer) {
        mAnswer = answer;
        mExchange.more();
    }

    @Override
    public void data(HttpData data) {
        mBody.writeBytes(data.array());
        mExchange.more();
    }

    @Override
    public void complete() {
        if (mEnded) {
            return;
        }
        if (mAnswer.notRun() || !mAnswer.success()) {
            mRejected = true;
            fail(
                    mAnswer.misdirected() ? SendOutcome.MISDIRECTED : SendOutcome.REJECTED,
                    "status " + mAnswer.headers().status().code());
            return;
        }
        if (!mAnswer.requestId().map(mRequest.caller().id()::equals).orElse(false)) {
            // On a kept connection this may be a late second answer to the request before: its
            // handle would make this request go on from another one's prompt.
            mExchange.cancel();
            fail(SendOutcome.UNKNOWN, "answer for " + mAnswer.requestId().orElse("no request"));
            return;
        }
        Either<String, PromptHandle> handle =
                mRelay.engineMessages().promptHandle(mReader, mBody.toByteArray());
        if (handle.isLeft()) {
            fail(SendOutcome.UNKNOWN, handle.getLeft());
            return;
        }
        long now = mRelay.clock().millis();
        mRelay.board().recordFirstByte(mReader, mRequest.caller().size(), now - mStartMillis, now);
        end(SendOutcome.SUCCEEDED);
        mDone.accept(Optional.of(handle.get()));
    }

    @Override
    public void failed(SendOutcome outcome, Throwable cause) {
        if (mEnded) {
            return;
        }
        if (mKept && mAnswer == null && outcome == SendOutcome.UNKNOWN) {
            // A kept connection may have been closed while it was idle. The reading may be
            // repeated.
            open(false);
        } else {
            fail(outcome, String.valueOf(cause));
        }
    }

    private long patienceMillis() {
        return (long) (mRequest.route().silenceMillis() * SILENT_SHARE);
    }

    private void tooLong() {
        if (mEnded) {
            return;
        }
        long now = mRelay.clock().millis();
        long patience = patienceMillis();
        long most = (long) (mRequest.route().silenceMillis() * QUEUE_SHARE);
        long left = mStartMillis + most - now;
        boolean queued = mRelay.board().respondedSince(mReader, mStartMillis);
        if (queued && left > 0) {
            mPatience =
                    mLoop.schedule(this::tooLong, Math.min(patience, left), TimeUnit.MILLISECONDS);
        } else {
            mExchange.cancel();
            fail(SendOutcome.UNKNOWN, "no answer in " + (now - mStartMillis) + " ms");
        }
    }

    private void fail(SendOutcome outcome, String cause) {
        end(outcome);
        mRelay.log().log(
                RelayEvent.PREFILL_FAILED,
                mRequest.caller().id(),
                mReader.id(),
                outcome,
                cause,
                mRelay.clock().millis() - mStartMillis);
        mDone.accept(Optional.empty());
    }

    private void end(SendOutcome outcome) {
        mEnded = true;
        mPatience.cancel(false);
        long now = mRelay.clock().millis();
        mRelay.board().recordOutcome(mReader, mRequest.caller().size(), false, outcome, now);
    }
}
