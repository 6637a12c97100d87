package org.cyclamenpaddle.relay.backend;

import java.util.Optional;

/**
 * Where a request goes.
 *
 * @param runner runs it to its end
 * @param prefill reads its prompt first; empty if the runner does that itself
 */
public record Placement(Backend runner, Optional<Backend> prefill) {

    public Placement {
        if (runner == null || prefill == null) {
            throw new IllegalArgumentException("placement needs a runner");
        }
    }
}
