package org.cyclamenpaddle.core.config;

import java.util.Locale;

/** What a backend server does for a service. */
public enum BackendRole {
    /** Engine that turns prompts into KV cache. */
    PREFILL,
    /** Engine that generates tokens from imported KV cache. */
    DECODE,
    /** Plain service instance. */
    PLAIN;

    /** Returns the form used in documents. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
