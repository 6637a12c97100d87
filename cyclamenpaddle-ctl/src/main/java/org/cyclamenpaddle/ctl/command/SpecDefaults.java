package org.cyclamenpaddle.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.ctl.report.Json;

/** Default values of spec members that a file omits. */
final class SpecDefaults {

    private static final String LEAVING = "leaving";

    private SpecDefaults() {}

    /** Returns the member that holds the name of an object. */
    static String nameMember(ObjectKind kind) {
        return kind == ObjectKind.BACKEND ? "id" : "name";
    }

    /**
     * Returns the complete spec of an object.
     *
     * <p>Safeguard: files rarely set {@code leaving}. Without this rule, applying a file again
     * would reset it on a draining backend server, which would then get new requests. A file that
     * omits {@code leaving} therefore preserves the stored value.
     *
     * @param kind kind of the object
     * @param declared members that the file specifies
     * @param stored the stored spec; empty if the object does not exist
     */
    static ObjectNode complete(ObjectKind kind, ObjectNode declared, Optional<JsonNode> stored) {
        ObjectNode spec = defaults(kind);
        stored.map(current -> current.path(LEAVING))
                .filter(JsonNode::isBoolean)
                .ifPresent(leaving -> spec.set(LEAVING, leaving));
        spec.setAll(declared);
        return spec;
    }

    private static ObjectNode defaults(ObjectKind kind) {
        return switch (kind) {
            case SERVICE -> service();
            case BACKEND -> backend();
            case PRESET -> preset();
            case IN_FORCE -> Json.object();
        };
    }

    private static ObjectNode service() {
        ObjectNode spec = Json.object();
        spec.put("model", "");
        spec.put("firstTokenMillis", 0);
        spec.put("perTokenMillis", 0);
        spec.put("kvBytesPerToken", 0);
        spec.set("calls", Json.array());
        return spec;
    }

    private static ObjectNode backend() {
        ObjectNode spec = Json.object();
        spec.put("memoryPieces", 0);
        spec.put("prefillTokensPerSecond", 0);
        spec.put("tokenMillis", 0);
        spec.put("linkBytesPerSecond", 0);
        spec.put("fencing", FencingSupport.IGNORES.name());
        spec.put(LEAVING, false);
        return spec;
    }

    private static ObjectNode preset() {
        ObjectNode spec = Json.object();
        spec.put("description", "");
        spec.set("assignments", Json.array());
        return spec;
    }
}
