package org.cyclamenpaddle.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Event of a decode stream. */
sealed interface EngineEvent {

    /** Returns the event as one line of JSON, including the line feed. */
    String line();

    /** Returns whether this is the last event of the stream. */
    default boolean last() {
        return false;
    }

    /** Returns whether a stream that starts at token {@code index} contains this event. */
    default boolean from(int index) {
        return true;
    }

    /** The KV cache was imported. */
    record Imported(long bytes) implements EngineEvent {

        @Override
        public String line() {
            return EngineEvent.line(EngineEvent.event("imported").put("bytes", bytes));
        }
    }

    /** A generated token. */
    record Token(int index, String text) implements EngineEvent {

        @Override
        public String line() {
            return EngineEvent.line(
                    EngineEvent.event("token").put("index", index).put("text", text));
        }

        @Override
        public boolean from(int first) {
            return index >= first;
        }
    }

    /** The completion is finished; {@code tokens} is its length from index 0. */
    record End(int tokens, String finishReason) implements EngineEvent {

        @Override
        public String line() {
            return EngineEvent.line(
                    EngineEvent.event("end")
                            .put("tokens", tokens)
                            .put("finishReason", finishReason));
        }

        @Override
        public boolean last() {
            return true;
        }
    }

    /** The attempt failed before the completion was finished. */
    record Failed(String reason) implements EngineEvent {

        @Override
        public String line() {
            return EngineEvent.line(EngineEvent.event("failed").put("reason", reason));
        }

        @Override
        public boolean last() {
            return true;
        }
    }

    private static ObjectNode event(String name) {
        return JsonResponses.JSON.createObjectNode().put("event", name);
    }

    private static String line(ObjectNode event) {
        return event + "\n";
    }
}
