package org.cyclamenpaddle.engine.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;

/** JSON mapping of the engine protocol; ignores unknown members and rejects wrong types. */
final class EngineJson {

    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    private final JsonMapper mMapper =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .build();

    private record ErrorBody(String reason, Long fence) {}

    String write(Object value) {
        try {
            return mMapper.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException(
                    "expected a value that can be encoded as JSON, got " + value, impossible);
        }
    }

    <T> Either<EngineFailure, T> read(String text, Class<T> type) {
        try {
            return Optional.ofNullable(mMapper.readValue(text, type))
                    .<Either<EngineFailure, T>>map(Either::right)
                    .orElseGet(() -> Either.left(new EngineFailure.Protocol("null body")));
        } catch (JsonProcessingException malformed) {
            return Either.left(new EngineFailure.Protocol(malformed.getOriginalMessage()));
        }
    }

    /** Returns the failure of a response with an error status. */
    EngineFailure failure(AggregatedHttpResponse response) {
        return failure(response.status().code(), response.contentUtf8());
    }

    EngineFailure failure(int status, String body) {
        if (status == NOT_FOUND) {
            return new EngineFailure.UnknownAttempt();
        }
        return status == CONFLICT || status == UNAVAILABLE
                ? read(body, ErrorBody.class)
                        .map(error -> failure(status, error))
                        .getOrElseGet(malformed -> malformed)
                : new EngineFailure.Protocol("status " + status + ": " + body);
    }

    /** Returns the failure of a {@code failed} event. */
    static EngineFailure failedEvent(String reason) {
        return switch (String.valueOf(reason)) {
            case "evicted" -> new EngineFailure.Evicted();
            case "transfer-stalled" -> new EngineFailure.TransferStalled();
            case "cancelled" -> new EngineFailure.Cancelled();
            default -> new EngineFailure.Protocol("failed for unknown reason " + reason);
        };
    }

    private static EngineFailure failure(int status, ErrorBody error) {
        return switch (String.valueOf(error.reason())) {
            case "full" -> new EngineFailure.Full();
            case "cancelled" -> new EngineFailure.Cancelled();
            case "exists" -> new EngineFailure.Exists();
            case "stale-fence" ->
                    new EngineFailure.StaleFence(Objects.requireNonNullElse(error.fence(), 0L));
            default ->
                    new EngineFailure.Protocol("status " + status + ", reason " + error.reason());
        };
    }
}
