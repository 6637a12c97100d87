package org.cyclamenpaddle.fleet.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.testng.annotations.Test;

public class ConfigurationReplicaTest {

    private static final ObjectKey SERVICE = new ObjectKey(ObjectKind.SERVICE, "malt-reader");

    @Test
    public void slowPeerDoesNotRevertThePreset() {
        // An operator switches the preset, this host has it from its watch. A peer that was cut off
        // answers an older ask with the former preset. Taking it would revert the switch here.
        ConfigurationReplica replica = new ConfigurationReplica();
        ConfigurationObject peak = object(ObjectKey.inForce(), 5, "peak");
        replica.offer(peak);

        assertFalse(replica.offer(object(ObjectKey.inForce(), 4, "ordinary")));

        assertEquals(replica.object(ObjectKey.inForce()), Optional.of(peak));
        assertEquals(replica.inForceVersion(), 5);
    }

    @Test
    public void oldListingDoesNotDeleteWhatIsNewer() {
        // A listing is under way while a service is created and reaches this host through a peer.
        // The listing lacks it. Taking that for a deletion would drop the new service, and since
        // its tombstone spreads, on every host.
        ConfigurationReplica replica = new ConfigurationReplica();
        replica.offer(object(SERVICE, 9, "new"));

        assertEquals(replica.tombstonesForMissing(8, List.of()), List.of());
        assertEquals(
                replica.tombstonesForMissing(10, List.of()),
                List.of(new ConfigurationObject(SERVICE, 10, Optional.empty())));
    }

    @Test
    public void tombstoneKeepsAnOldVersionOut() {
        ConfigurationReplica replica = new ConfigurationReplica();
        replica.offer(new ConfigurationObject(SERVICE, 3, Optional.empty()));

        assertFalse(replica.offer(object(SERVICE, 2, "old")));
        assertTrue(replica.offer(object(SERVICE, 4, "again")));
    }

    @Test
    public void digestDoesNotDependOnOrder() {
        ConfigurationReplica one = new ConfigurationReplica();
        ConfigurationReplica two = new ConfigurationReplica();
        one.offerAll(List.of(object(SERVICE, 1, "a"), object(ObjectKey.inForce(), 2, "b")));
        one.offer(object(SERVICE, 3, "c"));
        two.offerAll(List.of(object(SERVICE, 3, "c"), object(ObjectKey.inForce(), 2, "b")));

        assertEquals(one.digest(), two.digest());
        assertEquals(
                one.newerThan(Map.of(SERVICE.path(), 3L)),
                List.of(object(ObjectKey.inForce(), 2, "b")));
    }

    private static ConfigurationObject object(ObjectKey key, long version, String document) {
        return new ConfigurationObject(key, version, Optional.of(document));
    }
}
