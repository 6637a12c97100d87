package org.cyclamenpaddle.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** JSON bodies, error bodies and lost answers. */
public final class Answers {

    /** JSON codec of all stand-ins; ignores unknown members. */
    public static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Answers() {}

    /** Returns 200 with {@code body} as JSON. */
    public static HttpResponse ok(Object body) {
        return of(HttpStatus.OK, body);
    }

    /** Returns {@code status} with {@code body} as JSON. */
    public static HttpResponse of(HttpStatus status, Object body) {
        return HttpResponse.of(status, MediaType.JSON_UTF_8, HttpData.ofUtf8(write(body)));
    }

    /** Returns an error body with a reason code and a sentence. */
    public static HttpResponse error(HttpStatus status, String reason, String detail) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("reason", reason);
        body.put("detail", detail);
        return of(status, body);
    }

    /**
     * Reads the request's JSON body and answers by {@code handler}; 400 for a bad body.
     *
     * @param ctx the request
     * @param type type of the body
     * @param handler makes the answer, on the request's event loop
     */
    public static <T> HttpResponse withBody(
            ServiceRequestContext ctx, Class<T> type, Function<T, HttpResponse> handler) {
        CompletableFuture<HttpResponse> answer =
                ctx.request().aggregate().thenApply(request -> parsed(request, type, handler));
        return HttpResponse.of(answer);
    }

    /** Closes the request's connection without an answer. */
    public static HttpResponse dropConnection(ServiceRequestContext ctx) {
        ctx.log()
                .whenAvailable(RequestLogProperty.SESSION)
                .thenAccept(log -> OpenConnections.drop(log.channel()));
        return never();
    }

    /** Returns a response that never comes. */
    public static HttpResponse never() {
        return HttpResponse.of(new CompletableFuture<>());
    }

    /** Returns {@code value} as JSON text. */
    public static String write(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + value, e);
        }
    }

    private static <T> HttpResponse parsed(
            AggregatedHttpRequest request, Class<T> type, Function<T, HttpResponse> handler) {
        T body;
        try {
            body = JSON.readValue(request.contentUtf8(), type);
        } catch (JsonProcessingException e) {
            return error(HttpStatus.BAD_REQUEST, "bad-body", e.getOriginalMessage());
        }
        return handler.apply(body);
    }
}
