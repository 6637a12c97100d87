package org.cyclamenpaddle.fleet.order;

import java.util.Optional;

/**
 * Status report of an engine.
 *
 * @param setup its current setup; empty if it has none
 * @param fence highest fencing token that it has received; 0 if none, or if it ignores fencing
 *     tokens
 */
public record EngineReport(Optional<EngineSetup> setup, long fence) {

    public EngineReport {
        if (setup == null || fence < 0) {
            throw new IllegalArgumentException(
                    "engine report needs a setup and a fence of at least 0, but has fence "
                            + fence);
        }
    }
}
