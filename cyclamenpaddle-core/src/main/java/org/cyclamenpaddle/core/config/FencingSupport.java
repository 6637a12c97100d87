package org.cyclamenpaddle.core.config;

/** Whether a backend server refuses an order that carries an old fencing number. */
public enum FencingSupport {
    HONOURS,
    IGNORES
}
