package org.cyclamenpaddle.ctl.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** JSON documents of the command line. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns a new object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns a new array. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Returns the document in {@code text}; empty if it is no JSON. */
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
