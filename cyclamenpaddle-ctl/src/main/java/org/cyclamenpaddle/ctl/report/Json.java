package org.cyclamenpaddle.ctl.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** Creates and parses JSON documents. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Parses {@code text}; empty if it is not valid JSON. */
    public static Optional<JsonNode> read(String text) {
        try {
            return Optional.of(MAPPER.readTree(text));
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    static ObjectNode error(CommandError error) {
        ObjectNode node = object();
        node.put("exitCode", error.code().number());
        node.put("error", error.code().name());
        node.put("message", error.message());
        error.problem().ifPresent(problem -> node.set("problem", problem));
        return node;
    }
}
