package org.cyclamenpaddle.standins.platform;

/** Kinds of API call, counted separately. */
public enum CallKind {
    LIST,
    READ,
    WRITE,
    WATCH,
    HOSTS
}
