package org.cyclamenpaddle.core.config;

/** Whether a backend server rejects orders that carry a stale fencing token. */
public enum FencingSupport {
    HONOURS,
    IGNORES
}
