package org.cyclamenpaddle.router.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.model.EngineClient;
import org.cyclamenpaddle.engine.model.HttpEngineClient;

/** Caches one client per engine, created anew when the engine's declaration changes. */
public final class BackendClients {

    private static final long ENGINE_TIMEOUT_MILLIS = 1_000;

    private final BackendConnections mConnections;
    private final Map<BackendSpec, EngineClient> mClients = new ConcurrentHashMap<>();

    /**
     * Creates the clients.
     *
     * @param connections connections shared by all clients
     */
    public BackendClients(BackendConnections connections) {
        mConnections = connections;
    }

    /** Returns the client of an engine. */
    public EngineClient engine(BackendSpec backend) {
        return mClients.computeIfAbsent(
                backend, spec -> new HttpEngineClient(mConnections, spec, ENGINE_TIMEOUT_MILLIS));
    }

    /** Removes clients whose declaration no longer exists. */
    public void retain(Iterable<BackendSpec> declared) {
        java.util.Set<BackendSpec> retained = new java.util.HashSet<>();
        declared.forEach(retained::add);
        mClients.keySet().retainAll(retained);
    }
}
