package org.cyclamenpaddle.router.event;

import org.jboss.logging.Logger;

/** Severity of an event. */
public enum EventLevel {
    DEBUG(Logger.Level.DEBUG),
    INFO(Logger.Level.INFO),
    WARN(Logger.Level.WARN),
    ERROR(Logger.Level.ERROR);

    private final Logger.Level mLevel;

    EventLevel(Logger.Level level) {
        mLevel = level;
    }

    Logger.Level loggerLevel() {
        return mLevel;
    }
}
