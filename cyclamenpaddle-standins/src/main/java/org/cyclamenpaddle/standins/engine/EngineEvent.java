package org.cyclamenpaddle.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cyclamenpaddle.standins.http.Answers;

/** One event of a decode stream. */
sealed interface EngineEvent {

    /** Returns the event as one line of JSON, with its line feed. */
    String line();

    /** Returns whether nothing follows. */
    default boolean last() {
        return false;
    }

    /** Returns whether a stream from {@code index} contains this event. */
    default boolean from(int index) {
        return true;
    }

    /** The KV cache has arrived. */
    record Imported(long bytes) implements EngineEvent {

        @Override
        public String line() {
            return text("imported", Map.of("bytes", bytes));
        }
    }

    /** One token. */
    record Token(int index, String text) implements EngineEvent {

        @Override
        public String line() {
            return EngineEvent.text("token", Map.of("index", index, "text", text));
        }

        @Override
        public boolean from(int first) {
            return index >= first;
        }
    }

    /** The whole answer was generated; {@code tokens} counts from index 0. */
    record End(int tokens, String finishReason) implements EngineEvent {

        @Override
        public String line() {
            return text("end", Map.of("tokens", tokens, "finishReason", finishReason));
        }

        @Override
        public boolean last() {
            return true;
        }
    }

    /** The attempt ended without the whole answer. */
    record Failed(String reason) implements EngineEvent {

        @Override
        public String line() {
            return text("failed", Map.of("reason", reason));
        }

        @Override
        public boolean last() {
            return true;
        }
    }

    private static String text(String event, Map<String, Object> members) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("event", event);
        body.putAll(members);
        return Answers.write(body) + "\n";
    }
}
