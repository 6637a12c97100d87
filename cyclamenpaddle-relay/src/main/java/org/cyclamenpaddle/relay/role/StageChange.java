package org.cyclamenpaddle.relay.role;

import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;

/**
 * A change of one engine's stage.
 *
 * @param engine the engine
 * @param stage what it is to do
 */
public record StageChange(Backend engine, BackendStage stage) {}
