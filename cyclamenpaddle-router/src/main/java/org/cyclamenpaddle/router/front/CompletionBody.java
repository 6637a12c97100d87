package org.cyclamenpaddle.router.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import io.vavr.control.Either;
import java.util.Optional;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;

/**
 * Validated body of {@code POST /v1/completions}.
 *
 * @param model name of the service
 * @param prompt text of the prompt, not empty
 * @param maxTokens maximum number of tokens to generate, 1 to {@value #MAX_TOKENS}
 * @param stream whether the caller wants server-sent events
 */
record CompletionBody(String model, String prompt, int maxTokens, boolean stream) {

    private static final int MAX_TOKENS = 16_384;
    private static final int DEFAULT_TOKENS = 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static Either<Refusal, CompletionBody> parse(String text) {
        JsonNode body;
        try {
            body = MAPPER.readTree(text);
        } catch (JsonProcessingException malformed) {
            return badBody("The body is not valid JSON: " + malformed.getOriginalMessage());
        }
        if (body == null || !body.isObject()) {
            return badBody("The body must be a JSON object.");
        }
        return findError(body)
                .<Either<Refusal, CompletionBody>>map(CompletionBody::badBody)
                .orElseGet(() -> Either.right(fromValid(body)));
    }

    private static CompletionBody fromValid(JsonNode body) {
        return new CompletionBody(
                body.get("model").textValue(),
                body.get("prompt").textValue(),
                body.has("max_tokens") ? body.get("max_tokens").intValue() : DEFAULT_TOKENS,
                body.has("stream") && body.get("stream").booleanValue());
    }

    private static Optional<String> findError(JsonNode body) {
        if (type(body, "model") != JsonNodeType.STRING) {
            return Optional.of("Member 'model' must be a string that names the service.");
        }
        if (type(body, "prompt") != JsonNodeType.STRING || body.get("prompt").asText().isEmpty()) {
            return Optional.of("Member 'prompt' must be a non-empty string.");
        }
        if (body.has("stream") && type(body, "stream") != JsonNodeType.BOOLEAN) {
            return Optional.of("Member 'stream' must be true or false.");
        }
        if (body.has("max_tokens") && !tokensInRange(body.get("max_tokens"))) {
            return Optional.of(
                    "Member 'max_tokens' must be an integer from 1 to " + MAX_TOKENS + ".");
        }
        return Optional.empty();
    }

    private static boolean tokensInRange(JsonNode node) {
        return node.isInt() && node.intValue() >= 1 && node.intValue() <= MAX_TOKENS;
    }

    private static JsonNodeType type(JsonNode body, String member) {
        return body.path(member).getNodeType();
    }

    private static Either<Refusal, CompletionBody> badBody(String detail) {
        return Either.left(Refusal.of(RefusalReason.BAD_BODY, detail));
    }
}
