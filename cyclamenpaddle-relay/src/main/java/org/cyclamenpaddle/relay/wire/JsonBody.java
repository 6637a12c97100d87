package org.cyclamenpaddle.relay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.OptionalLong;

/** Reads JSON bodies; a left value is the reason why one cannot be read. */
public final class JsonBody {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonBody() {}

    /** Returns the body of a message as a tree. */
    public static Either<String, JsonNode> parse(byte[] body) {
        try {
            return Either.right(MAPPER.readTree(body));
        } catch (IOException malformed) {
            return Either.left("the response is not JSON: " + malformed.getMessage());
        }
    }

    /** Returns a whole number; empty if the field is missing or something else. */
    public static OptionalLong integer(JsonNode node, String name) {
        JsonNode value = node.path(name);
        return value.isIntegralNumber() ? OptionalLong.of(value.longValue()) : OptionalLong.empty();
    }

    /** Returns a field that must be a text of at least one character. */
    public static Either<String, String> text(JsonNode node, String name) {
        JsonNode value = node.path(name);
        return value.isTextual() && !value.textValue().isEmpty()
                ? Either.right(value.textValue())
                : Either.left("the response has no " + name);
    }
}
