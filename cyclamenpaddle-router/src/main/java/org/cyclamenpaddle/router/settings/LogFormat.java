package org.cyclamenpaddle.router.settings;

/** Format of log lines. */
public enum LogFormat {
    /** Human-readable text: time, level, code, message, fields. */
    HUMAN,
    /** One JSON object per line. */
    JSON
}
