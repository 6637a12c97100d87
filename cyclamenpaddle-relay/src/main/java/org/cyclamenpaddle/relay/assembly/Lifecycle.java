package org.cyclamenpaddle.relay.assembly;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Phase of a process, which decides what a request to stop means. Thread-safe.
 *
 * <p>Before it serves anyone a process ends at once. From then on it must not end without a planned
 * stop, also while it still starts.
 */
final class Lifecycle {

    private enum Phase {
        STARTING,
        SERVING,
        ENDED
    }

    private final AtomicReference<Phase> mPhase = new AtomicReference<>(Phase.STARTING);

    /** Returns whether the process may begin to serve; false if it was stopped before. */
    boolean beginService() {
        return mPhase.compareAndSet(Phase.STARTING, Phase.SERVING);
    }

    /** Returns whether the process ends at once since it has not served anyone. */
    boolean endUnused() {
        return mPhase.compareAndSet(Phase.STARTING, Phase.ENDED);
    }
}
