package org.cyclamenpaddle.core.config;

/** Kind of a service: a model or a plain service. */
public enum ServiceKind {
    /** Served by a prefill and a decode engine. */
    MODEL {
        @Override
        public boolean accepts(BackendRole role) {
            return role != BackendRole.PLAIN;
        }
    },
    /** Served by plain service instances. */
    PLAIN {
        @Override
        public boolean accepts(BackendRole role) {
            return role == BackendRole.PLAIN;
        }
    };

    /** Returns whether a backend server in {@code role} can serve this kind of service. */
    public abstract boolean accepts(BackendRole role);
}
