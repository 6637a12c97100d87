package org.cyclamenpaddle.core.config;

import java.util.Locale;

/** Role of a backend server in a service. */
public enum BackendRole {
    /** Engine that computes the KV cache of prompts. */
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
