package org.cyclamenpaddle.relay.role;

import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;

/**
 * Change of one engine's stage.
 *
 * @param engine the engine
 * @param stage its new stage
 */
public record StageChange(Backend engine, BackendStage stage) {}
