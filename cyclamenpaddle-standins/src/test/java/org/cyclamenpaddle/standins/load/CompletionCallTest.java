package org.cyclamenpaddle.standins.load;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CompletionCallTest {

    private static final String PROMPT = "p";

    private long mNow;
    private LatencyRecorder mLatencies;
    private CompletionCall mCall;

    @BeforeMethod
    public void reset() {
        mNow = 0;
        mLatencies = new LatencyRecorder();
        mCall = new CompletionCall(new CompletionVerifier(PROMPT, 0, 3), mLatencies, () -> mNow);
    }

    @Test
    public void latenciesAreMeasuredFromTheSendTime() {
        mCall.onNext(ResponseHeaders.of(HttpStatus.OK));
        at(100_000, event(token(0)));
        String second = event(token(1));
        at(130_000, second.substring(0, 20));
        at(140_000, second.substring(20));
        at(190_000, event(token(2)) + event("") + "data: [DONE]\n\n");
        mCall.onComplete();
        CallResult result = mCall.result().join();
        assertEquals(result, new CallResult(CallOutcome.WHOLE, "", 100_000, 45_000, 3));
        assertEquals(mLatencies.gaps().count(), 2);
    }

    @Test
    public void problemDocumentIsARejectionWithItsReason() {
        mCall.onNext(ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE));
        at(1_000, "{\"reason\": \"queue");
        at(2_000, "-full\"}");
        mCall.onComplete();
        CallResult result = mCall.result().join();
        assertEquals(result, new CallResult(CallOutcome.REFUSED, "queue-full", 0, 0, 0));
    }

    @Test
    public void errorEventTruncatesTheCompletion() {
        mCall.onNext(ResponseHeaders.of(HttpStatus.OK));
        at(1_000, event(token(0)));
        at(2_000, "event: error\ndata: {\"reason\": \"backend-failed\"}\n\n");
        mCall.onComplete();
        CallResult result = mCall.result().join();
        assertEquals(result.outcome(), CallOutcome.CUT_OFF);
        assertEquals(result.reason(), "backend-failed");
    }

    @Test
    public void failedConnectionIsLost() {
        mCall.onNext(ResponseHeaders.of(HttpStatus.OK));
        mCall.onError(new IllegalStateException("closed"));
        assertEquals(mCall.result().join().outcome(), CallOutcome.LOST);
    }

    private void at(long micros, String data) {
        mNow = micros;
        mCall.onNext(HttpData.ofUtf8(data));
    }

    private static String token(int index) {
        return CompletionText.token(PromptText.hash(PROMPT), index);
    }

    private static String event(String text) {
        return "data: {\"choices\": [{\"index\": 0, \"text\": \"" + text + "\"}]}\n\n";
    }
}
