package org.cyclamenpaddle.relay.log;

import java.util.Arrays;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Routes warnings of libraries that use {@code java.util.logging} into the event log.
 *
 * <p>By default they are written to standard error as free text of two lines each, without a limit
 * and on the thread that logs. As decision lines they are structured, bounded and non-blocking.
 */
public final class LibraryLog {

    /**
     * Leaves the library without a configuration; created by the library by its name.
     *
     * <p>The library would otherwise read the JDK's configuration file at each start and prepare a
     * handler for standard error, although {@link #install} removes both again.
     */
    public static final class NoConfiguration {

        /** Configures nothing. */
        public NoConfiguration() {
            // The library requires a public constructor.
        }
    }

    private static final String CONFIGURATION = "java.util.logging.config.class";

    private static final class EventLogHandler extends Handler {

        private final RelayEventLog mLog;

        private EventLogHandler(RelayEventLog log) {
            mLog = log;
            setLevel(Level.WARNING);
        }

        @Override
        public void publish(LogRecord record) {
            if (isLoggable(record)) {
                mLog.log(
                        RelayEvent.LIBRARY_WARNING,
                        record.getLoggerName(),
                        record.getMessage(),
                        record.getThrown());
            }
        }

        @Override
        public void flush() {
            // The event log has its own writer thread.
        }

        @Override
        public void close() {
            // The event log outlives this handler.
        }
    }

    private LibraryLog() {}

    /** Redirects warnings and errors of all libraries from standard error to a log. */
    public static void install(RelayEventLog log) {
        System.setProperty(CONFIGURATION, NoConfiguration.class.getName());
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        root.setLevel(Level.WARNING);
        root.addHandler(new EventLogHandler(log));
    }
}
