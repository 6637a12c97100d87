package org.cyclamenpaddle.router.event;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Writes numbered events to the log; thread-safe. */
public final class EventLog {

    /** Logger of all events. */
    static final String LOGGER = "org.cyclamenpaddle";

    /** MDC key of the code of an event, read by encoders. */
    static final String CODE_KEY = "event.code";

    /** MDC key prefix of the fields of an event, read by encoders. */
    static final String FIELD_PREFIX = "field.";

    private final Logger mLogger;

    /** Creates a log that writes to the logging system configured by {@link LogOutput}. */
    public EventLog() {
        this(Logger.getLogger(LOGGER));
    }

    EventLog(Logger logger) {
        mLogger = logger;
    }

    /**
     * Logs an event.
     *
     * @param event the event
     * @param fields values of {@link LogEvent#fields()}, in the same number and order
     */
    public void log(LogEvent event, Object... fields) {
        Invariants.require(
                fields.length == event.fields().size(),
                () -> event.code() + " takes " + event.fields() + ", not " + fields.length);
        Logger.Level level = event.level().loggerLevel();
        if (!mLogger.isEnabled(level)) {
            return;
        }
        Map<String, String> named = named(event, fields);
        MDC.put(CODE_KEY, event.code());
        named.forEach((name, value) -> MDC.put(FIELD_PREFIX + name, value));
        try {
            mLogger.log(level, line(event, named));
        } finally {
            MDC.remove(CODE_KEY);
            named.keySet().forEach(name -> MDC.remove(FIELD_PREFIX + name));
        }
    }

    private static Map<String, String> named(LogEvent event, Object[] fields) {
        Map<String, String> named = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i++) {
            named.put(event.fields().get(i), String.valueOf(fields[i]));
        }
        return named;
    }

    private static String line(LogEvent event, Map<String, String> named) {
        String fields =
                named.entrySet().stream()
                        .map(field -> " " + field.getKey() + "=" + quoted(field.getValue()))
                        .collect(Collectors.joining());
        return event.code() + " " + event.text() + fields;
    }

    /**
     * Replaces control characters with spaces and quotes values that contain spaces, so that no
     * value can inject a log line.
     */
    private static String quoted(String value) {
        String line = value.replaceAll("\\p{Cntrl}", " ");
        return line.indexOf(' ') < 0 && !line.isEmpty()
                ? line
                : "\"" + line.replace("\"", "'") + "\"";
    }
}
