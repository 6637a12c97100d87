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
 * A refusal as a problem document.
 *
 * @param refusal what is refused and why
 * @param outcome what became of the call; the reason's own unless the caller knows better
 * @param members further members of the document
 */
public record Problem(Refusal refusal, RunOutcome outcome, ObjectNode members) {

    /** Header that names the request on every answer. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    /** Media type of problem documents. */
    public static final MediaType MEDIA_TYPE = MediaType.parse("application/problem+json");

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    public Problem {
        if (refusal == null || outcome == null || members == null) {
            throw new IllegalArgumentException("problem needs a refusal and an outcome");
        }
        members = members.deepCopy();
    }

    /** Returns the problem of a refusal with the outcome that its reason implies. */
    public static Problem of(Refusal refusal) {
        return new Problem(
                refusal, refusal.reason().outcome(), JsonNodeFactory.instance.objectNode());
    }

    /** Returns the problem of a reason with a detail. */
    public static Problem of(RefusalReason reason, String detail) {
        return of(Refusal.of(reason, detail));
    }

    /** Returns this problem with another outcome, where more is known than the reason implies. */
    public Problem withOutcome(RunOutcome known) {
        return new Problem(refusal, known, members);
    }

    /** Returns this problem with further members. */
    public Problem withMembers(ObjectNode further) {
        ObjectNode all = members.deepCopy();
        all.setAll(further);
        return new Problem(refusal, outcome, all);
    }

    /** Returns the document as JSON text, also the data of a stream's {@code error} event. */
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

    /** Returns the HTTP answer as one piece, without a request id. */
    public AggregatedHttpResponse aggregated() {
        return AggregatedHttpResponse.of(headers().build(), HttpData.ofUtf8(document()));
    }

    /** Returns the HTTP answer, without a request id. */
    public HttpResponse response() {
        return HttpResponse.of(headers().build(), HttpData.ofUtf8(document()));
    }

    /**
     * Returns the HTTP answer.
     *
     * @param requestId value of {@value #REQUEST_ID_HEADER}
     */
    public HttpResponse response(String requestId) {
        return HttpResponse.of(headers(requestId), HttpData.ofUtf8(document()));
    }

    /**
     * Returns the headers of the HTTP answer, for a response that is written in parts.
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
