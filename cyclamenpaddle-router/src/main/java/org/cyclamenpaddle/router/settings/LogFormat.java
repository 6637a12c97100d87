package org.cyclamenpaddle.router.settings;

/** Form of log lines. */
public enum LogFormat {
    /** For people: time, level, code, sentence, fields. */
    HUMAN,
    /** One JSON object a line. */
    JSON
}
