package org.cyclamenpaddle.router.blackboard;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.routing.grant.GrantLedger;
import org.cyclamenpaddle.routing.quarantine.Quarantine;

/**
 * The tables of one entry host.
 *
 * <p>Controllers meet only here. Locks are taken in the order of {@link TableOrder}, and no table
 * is held over a call to another process.
 *
 * @param configuration the configuration in force on this host
 * @param backends what is heard of backend servers
 * @param grants ledgers of the backend servers that this host owns
 * @param requests what this host's requests hold
 * @param quarantine strikes and quarantine
 */
public record Blackboard(
        Table<ConfigurationState> configuration,
        Table<BackendTable> backends,
        Table<Map<BackendId, GrantLedger>> grants,
        Table<RequestTable> requests,
        Table<Quarantine> quarantine) {

    /** Returns empty tables around a quarantine. */
    public static Blackboard create(Quarantine quarantine) {
        return new Blackboard(
                new Table<>(TableOrder.CONFIGURATION, new ConfigurationState()),
                new Table<>(TableOrder.BACKENDS, new BackendTable()),
                new Table<>(TableOrder.GRANTS, new HashMap<>()),
                new Table<>(TableOrder.REQUESTS, new RequestTable()),
                new Table<>(TableOrder.SUSPECTS, quarantine));
    }

    /** Returns the configuration in force on this host. */
    public ConfigurationView view() {
        return configuration.read(ConfigurationState::view);
    }
}
