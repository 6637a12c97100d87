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

/** Factory of JSON responses, error responses and lost responses. */
public final class JsonResponses {

    /** JSON mapper of all stand-ins; ignores unknown members. */
    public static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private JsonResponses() {}

    /** Returns 200 with {@code body} as JSON. */
    public static HttpResponse ok(Object body) {
        return of(HttpStatus.OK, body);
    }

    /** Returns {@code status} with {@code body} as JSON. */
    public static HttpResponse of(HttpStatus status, Object body) {
        return HttpResponse.of(status, MediaType.JSON_UTF_8, HttpData.ofUtf8(write(body)));
    }

    /** Returns an error response with a reason code and a detail message. */
    public static HttpResponse error(HttpStatus status, String reason, String detail) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("reason", reason);
        body.put("detail", detail);
        return of(status, body);
    }

    /**
     * Parses the JSON body of a request and handles it; responds with 400 if it cannot be parsed.
     *
     * @param ctx the request
     * @param type type of the body
     * @param handler creates the response, on the event loop of the request
     */
    public static <T> HttpResponse withBody(
            ServiceRequestContext ctx, Class<T> type, Function<T, HttpResponse> handler) {
        CompletableFuture<HttpResponse> response =
                ctx.request().aggregate().thenApply(request -> handleBody(request, type, handler));
        return HttpResponse.of(response);
    }

    /** Closes the connection of a request without a response. */
    public static HttpResponse dropConnection(ServiceRequestContext ctx) {
        ctx.log()
                .whenAvailable(RequestLogProperty.SESSION)
                .thenAccept(log -> OpenConnections.drop(log.channel()));
        return never();
    }

    /** Returns a response that never completes. */
    public static HttpResponse never() {
        return HttpResponse.of(new CompletableFuture<>());
    }

    /** Serializes {@code value} to JSON. */
    public static String write(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize to JSON: " + value, e);
        }
    }

    private static <T> HttpResponse handleBody(
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
