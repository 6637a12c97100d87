package org.cyclamenpaddle.router.event;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Writes numbered events to the log; safe for use by many threads. */
public final class EventLog {

    /** Logger of all events. */
    static final String LOGGER = "org.cyclamenpaddle";

    /** Key under which an encoder finds the code of an event. */
    static final String CODE_KEY = "event.code";

    /** Key prefix under which an encoder finds the fields of an event. */
    static final String FIELD_PREFIX = "field.";

    private final Logger mLogger;

    /** Creates a log over the logging system that {@link LogOutput} has set up. */
    public EventLog() {
        this(Logger.getLogger(LOGGER));
    }

    EventLog(Logger logger) {
        mLogger = logger;
    }

    /**
     * Logs an event.
     *
     * @param event which
     * @param fields values of {@link LogEvent#fields()}, as many and in that order
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

    /** Quotes a value with blanks and drops line ends, so that no value can forge a line. */
    private static String quoted(String value) {
        String line = value.replaceAll("\\p{Cntrl}", " ");
        return line.indexOf(' ') < 0 && !line.isEmpty()
                ? line
                : "\"" + line.replace("\"", "'") + "\"";
    }
}
