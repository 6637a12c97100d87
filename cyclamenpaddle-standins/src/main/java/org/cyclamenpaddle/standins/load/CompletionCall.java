package org.cyclamenpaddle.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.cyclamenpaddle.standins.http.JsonResponses;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Reads one streamed completion, records its token latencies and verifies its text. */
final class CompletionCall implements Subscriber<HttpObject> {

    private static final String DATA = "data: ";
    private static final String ERROR = "event: error";
    private static final String DONE = "[DONE]";

    private final CompletionVerifier mVerifier;
    private final LatencyRecorder mLatencies;
    private final LongSupplier mMicros;
    private final long mSentMicros;
    private final CompletableFuture<CallResult> mResult = new CompletableFuture<>();
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final StringBuilder mProblem = new StringBuilder();
    private boolean mStreaming;
    private boolean mErrorFollows;
    private Optional<String> mError = Optional.empty();
    private long mFirstMicros;
    private long mLastMicros;
    private int mTimedTokens;

    /**
     * Creates a call; its latencies are measured from now on.
     *
     * @param verifier verifies the completion
     * @param latencies records the token latencies
     * @param micros clock of modelled time, in microseconds
     */
    CompletionCall(CompletionVerifier verifier, LatencyRecorder latencies, LongSupplier micros) {
        mVerifier = verifier;
        mLatencies = latencies;
        mMicros = micros;
        mSentMicros = micros.getAsLong();
    }

    CompletableFuture<CallResult> result() {
        return mResult;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(HttpObject object) {
        if (object instanceof ResponseHeaders headers) {
            mStreaming |= headers.status().equals(HttpStatus.OK);
        } else if (object instanceof HttpData data) {
            onData(data);
        }
    }

    @Override
    public void onError(Throwable failure) {
        finish(CallOutcome.LOST, failure.getClass().getSimpleName());
    }

    @Override
    public void onComplete() {
        if (!mStreaming) {
            finish(CallOutcome.REFUSED, reason(mProblem.toString()));
        } else {
            finish(mVerifier.outcome(), mError.orElse(""));
        }
    }

    private void finish(CallOutcome outcome, String reason) {
        int gaps = mTimedTokens - 1;
        long meanGap = gaps > 0 ? (mLastMicros - mFirstMicros) / gaps : 0;
        long first = mTimedTokens > 0 ? mFirstMicros - mSentMicros : 0;
        mResult.complete(new CallResult(outcome, reason, first, meanGap, mVerifier.tokens()));
    }

    private void onData(HttpData data) {
        if (!mStreaming) {
            mProblem.append(data.toStringUtf8());
            return;
        }
        for (byte b : data.array()) {
            if (b == '\n') {
                onLine(mLine.toString(StandardCharsets.UTF_8));
                mLine.reset();
            } else {
                mLine.write(b);
            }
        }
    }

    private void onLine(String line) {
        if (line.equals(ERROR)) {
            mErrorFollows = true;
        } else if (line.startsWith(DATA)) {
            onEvent(line.substring(DATA.length()));
        }
    }

    private void onEvent(String data) {
        if (mErrorFollows) {
            mError = Optional.of(reason(data));
        } else if (data.equals(DONE)) {
            mVerifier.onDone();
        } else {
            onText(parse(data).path("choices").path(0).path("text").asText());
        }
    }

    private void onText(String text) {
        if (!text.isEmpty()) {
            recordLatency();
        }
        mVerifier.onText(text);
    }

    private void recordLatency() {
        long now = mMicros.getAsLong();
        if (mTimedTokens == 0) {
            mFirstMicros = now;
            mLatencies.firstToken(now - mSentMicros);
        } else {
            mLatencies.gap(now - mLastMicros);
        }
        mLastMicros = now;
        mTimedTokens++;
    }

    private static String reason(String problem) {
        return parse(problem).path("reason").asText("no-reason");
    }

    private static JsonNode parse(String text) {
        try {
            return JsonResponses.JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return JsonResponses.JSON.createObjectNode();
        }
    }
}
