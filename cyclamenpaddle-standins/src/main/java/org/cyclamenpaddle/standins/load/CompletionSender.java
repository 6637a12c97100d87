package org.cyclamenpaddle.standins.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.cyclamenpaddle.standins.deployment.Deployment;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Sends completion requests to the entry hosts in round-robin order, as the load balancer does. */
final class CompletionSender {

    private static final int MAX_TOKENS_PER_MEAN = 2;
    private static final long TIMEOUT_MILLIS = 120_000;

    private final Deployment mDeployment;
    private final int mAnswerTokens;
    private final List<WebClient> mEntries;
    private final LatencyRecorder mLatencies;
    private final LongSupplier mMicros;
    private int mNextEntry;

    /**
     * Creates a sender.
     *
     * @param options options of the run
     * @param answerTokens mean completion length configured on the engines
     * @param latencies records the latencies of all calls
     * @param micros clock of modelled time, in microseconds
     */
    CompletionSender(
            LoadOptions options, int answerTokens, LatencyRecorder latencies, LongSupplier micros) {
        mDeployment = options.deployment();
        mAnswerTokens = answerTokens;
        mEntries =
                options.entries().stream()
                        .map(CompletionSender::client)
                        .collect(Collectors.toList());
        mLatencies = latencies;
        mMicros = micros;
    }

    /** Sends a request; the result never completes exceptionally. */
    CompletableFuture<CallResult> send(PlannedRequest request) {
        int maxTokens = MAX_TOKENS_PER_MEAN * mDeployment.workload().answerTokens();
        CompletionVerifier verifier =
                new CompletionVerifier(request.prompt(), mAnswerTokens, maxTokens);
        HttpRequest http =
                HttpRequest.builder()
                        .method(HttpMethod.POST)
                        .path("/v1/completions")
                        .header("X-Team", request.team())
                        .content(MediaType.JSON, body(request, maxTokens))
                        .build();
        CompletionCall call = new CompletionCall(verifier, mLatencies, mMicros);
        mEntries.get(mNextEntry++ % mEntries.size()).execute(http).subscribe(call);
        return call.result();
    }

    private String body(PlannedRequest request, int maxTokens) {
        ObjectNode body = JsonResponses.JSON.createObjectNode();
        body.put("model", mDeployment.modelService());
        body.put("prompt", request.prompt());
        body.put("max_tokens", maxTokens);
        body.put("stream", true);
        return body.toString();
    }

    private static WebClient client(String address) {
        return WebClient.builder("http://" + address)
                .responseTimeoutMillis(TIMEOUT_MILLIS)
                .maxResponseLength(0)
                .build();
    }
}
