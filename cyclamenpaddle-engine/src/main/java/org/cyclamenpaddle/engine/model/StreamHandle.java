package org.cyclamenpaddle.engine.model;

/** Handle of an open decode stream. */
public interface StreamHandle extends AutoCloseable {

    /**
     * Stops reading; idempotent. The listener receives no events after a callback that may be
     * running. The attempt continues in the engine until it is cancelled there.
     */
    @Override
    void close();
}
