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
 * The shared state of one entry host, held in tables with one lock each.
 *
 * <p>Controllers share state only through these tables. Locks are acquired in the order of {@link
 * TableOrder}, and no lock is held during a call to another process.
 *
 * @param configuration the configuration in force on this host
 * @param backends state of the backend servers
 * @param grants ledgers of the backend servers that this host owns
 * @param requests attempts and grant requests of this host's requests
 * @param quarantine strikes and quarantine
 */
public record Blackboard(
        Table<ConfigurationState> configuration,
        Table<BackendTable> backends,
        Table<Map<BackendId, GrantLedger>> grants,
        Table<RequestTable> requests,
        Table<Quarantine> quarantine) {

    /** Creates empty tables that include the given quarantine. */
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
