package org.cyclamenpaddle.router.event;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.cyclamenpaddle.router.settings.LogFormat;
import org.cyclamenpaddle.router.settings.RouterSettings;
import org.slf4j.LoggerFactory;

/** Configures the logging system of the process: one console appender in the selected format. */
public final class LogOutput {

    private static final String HUMAN_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n";

    /** Libraries log warnings only; the router's own events report its activity. */
    private static final Level LIBRARY_LEVEL = Level.WARN;

    private LogOutput() {}

    /**
     * Replaces any existing configuration.
     *
     * @param settings format and least severe level
     */
    public static void configure(RouterSettings.Log settings) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder(settings.format(), context));
        console.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(LIBRARY_LEVEL);
        root.addAppender(console);
        context.getLogger(EventLog.LOGGER).setLevel(Level.toLevel(settings.level()));
    }

    private static Encoder<ILoggingEvent> encoder(LogFormat format, LoggerContext context) {
        return format == LogFormat.JSON ? json(context) : human(context);
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        EventJsonEncoder encoder = new EventJsonEncoder();
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> human(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(HUMAN_PATTERN);
        encoder.start();
        return encoder;
    }
}
