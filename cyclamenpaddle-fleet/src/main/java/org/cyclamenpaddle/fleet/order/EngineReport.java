package org.cyclamenpaddle.fleet.order;

import java.util.Optional;

/**
 * What an engine reports of itself.
 *
 * @param setup what it is set up for; empty if for nothing
 * @param fence the highest fencing number it has seen; 0 if none, or if it ignores them
 */
public record EngineReport(Optional<EngineSetup> setup, long fence) {

    public EngineReport {
        if (setup == null || fence < 0) {
            throw new IllegalArgumentException("engine report with fence " + fence);
        }
    }
}
