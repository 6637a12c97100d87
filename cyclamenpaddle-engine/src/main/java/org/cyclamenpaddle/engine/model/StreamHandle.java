package org.cyclamenpaddle.engine.model;

/** A decode stream that is being read. */
public interface StreamHandle extends AutoCloseable {

    /**
     * Stops reading; idempotent. The listener hears nothing of this stream after the callback that
     * may be running. The attempt goes on in the engine until it is cancelled there.
     */
    @Override
    void close();
}
