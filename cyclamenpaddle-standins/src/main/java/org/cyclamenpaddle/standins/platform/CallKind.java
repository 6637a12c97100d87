package org.cyclamenpaddle.standins.platform;

/** Kinds of call that the platform counts. */
public enum CallKind {
    LIST,
    READ,
    WRITE,
    WATCH,
    HOSTS
}
