package org.cyclamenpaddle.router.problem;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RunOutcome;

/**
 * A refusal as a problem document of type {@code application/problem+json}.
 *
 * @param refusal reason and detail of the refusal
 * @param outcome whether the call ran; the outcome that the reason implies unless more is known
 * @param members additional members of the document
 */
public record Problem(Refusal refusal, RunOutcome outcome, ObjectNode members) {

    /** Header that carries the request id on every response. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    /** Media type of problem documents. */
    public static final MediaType MEDIA_TYPE = MediaType.parse("application/problem+json");

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    public Problem {
        if (refusal == null || outcome == null || members == null) {
            throw new IllegalArgumentException(
                    "refusal, outcome and members of a problem must not be null");
        }
        members = members.deepCopy();
    }

    /** Creates the problem for a refusal, with the outcome that its reason implies. */
    public static Problem of(Refusal refusal) {
        return new Problem(
                refusal, refusal.reason().outcome(), JsonNodeFactory.instance.objectNode());
    }

    /** Creates the problem for a reason with a detail message. */
    public static Problem of(RefusalReason reason, String detail) {
        return of(Refusal.of(reason, detail));
    }

    /** Returns a copy with another outcome, where more is known than the reason implies. */
    public Problem withOutcome(RunOutcome known) {
        return new Problem(refusal, known, members);
    }

    /** Returns a copy with additional members. */
    public Problem withMembers(ObjectNode additional) {
        ObjectNode all = members.deepCopy();
        all.setAll(additional);
        return new Problem(refusal, outcome, all);
    }

    /**
     * Returns the document as JSON text, which is also the data of a stream's {@code error} event.
     */
    public String document() {
        RefusalReason reason = refusal.reason();
        ObjectNode document = MAPPER.createObjectNode();
        document.put("type", "about:blank");
        document.put("title", reason.title());
        document.put("status", reason.status());
        document.put("detail", refusal.detail());
        document.put("reason", reason.code());
        document.put("outcome", outcome.code());
        document.setAll(members);
        return document.toString();
    }

    /** Returns the aggregated HTTP response, without a request id. */
    public AggregatedHttpResponse aggregated() {
        return AggregatedHttpResponse.of(headers().build(), HttpData.ofUtf8(document()));
    }

    /** Returns the HTTP response, without a request id. */
    public HttpResponse response() {
        return HttpResponse.of(headers().build(), HttpData.ofUtf8(document()));
    }

    /**
     * Returns the HTTP response with a request id.
     *
     * @param requestId value of {@value #REQUEST_ID_HEADER}
     */
    public HttpResponse response(String requestId) {
        return HttpResponse.of(headers(requestId), HttpData.ofUtf8(document()));
    }

    /**
     * Returns the headers of the HTTP response, for a response that is written in parts.
     *
     * @param requestId value of {@value #REQUEST_ID_HEADER}
     */
    public ResponseHeaders headers(String requestId) {
        return headers().add(REQUEST_ID_HEADER, requestId).build();
    }

    /** Returns {@code Retry-After} in whole seconds, rounded up; 0 where waiting does not help. */
    public long retryAfterSeconds() {
        return refusal.reason().retryable() ? Math.max(1, roundUp(refusal.retryAfterMillis())) : 0;
    }

    private static long roundUp(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }

    private ResponseHeadersBuilder headers() {
        HttpStatus status = HttpStatus.valueOf(refusal.reason().status());
        ResponseHeadersBuilder headers = ResponseHeaders.builder(status).contentType(MEDIA_TYPE);
        long seconds = retryAfterSeconds();
        return seconds == 0
                ? headers
                : headers.add(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
    }
}
