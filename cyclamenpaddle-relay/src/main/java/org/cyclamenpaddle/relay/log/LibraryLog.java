package org.cyclamenpaddle.relay.log;

import java.util.Arrays;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Brings what libraries say of trouble into the decision log.
 *
 * <p>Left to themselves they write free text to standard error, two lines each, at any rate and on
 * the thread that met the trouble. As decision lines they are structured, bounded and never block.
 */
public final class LibraryLog {

    private static final class Lines extends Handler {

        private final DecisionLog mLog;

        private Lines(DecisionLog log) {
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
            // The decision log writes by itself.
        }

        @Override
        public void close() {
            // The decision log outlives this handler.
        }
    }

    private LibraryLog() {}

    /** Sends warnings and errors of all libraries to a log, in place of to standard error. */
    public static void install(DecisionLog log) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        root.setLevel(Level.WARNING);
        root.addHandler(new Lines(log));
    }
}
