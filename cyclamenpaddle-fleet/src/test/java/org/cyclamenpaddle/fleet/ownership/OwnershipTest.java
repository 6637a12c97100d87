package org.cyclamenpaddle.fleet.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.testng.annotations.Test;

public class OwnershipTest {

    private static final FailureDomain HOME = new FailureDomain("ahm");
    private static final FailureDomain OTHER_DOMAIN = new FailureDomain("mhs");
    private static final int BACKENDS = 1_000;

    @Test
    public void onlyLedgersOfTheLostHostMove() {
        List<HostRecord> all = hosts(HOME, 10);
        HostRecord lost = all.get(3);
        List<HostRecord> rest = new ArrayList<>(all);
        rest.remove(lost);

        List<BackendId> moved =
                backends().stream()
                        .filter(b -> !owner(b, all).equals(owner(b, rest)))
                        .collect(Collectors.toList());

        assertTrue(moved.stream().allMatch(backend -> owner(backend, all).equals(lost)));
        assertTrue(moved.size() > 60 && moved.size() < 140, "moved " + moved.size());
    }

    @Test
    public void hostsOfAnotherDomainAreUsedAsFallback() {
        List<HostRecord> remote = hosts(OTHER_DOMAIN, 3);
        List<HostRecord> all = new ArrayList<>(remote);
        all.addAll(hosts(HOME, 1));

        assertEquals(owner(new BackendId("engine"), all).domain(), HOME);
        assertEquals(owner(new BackendId("engine"), remote).domain(), OTHER_DOMAIN);
        assertEquals(Ownership.owner(new BackendId("engine"), HOME, List.of()), Optional.empty());
    }

    @Test
    public void watchersAreTwoHostsOfTheDomain() {
        List<HostRecord> hosts = hosts(HOME, 5);

        List<HostRecord> watchers = Ownership.watchers(HOME, hosts, 2);

        assertEquals(watchers.stream().distinct().count(), 2);
        assertTrue(hosts.containsAll(watchers));
    }

    private static HostRecord owner(BackendId backend, List<HostRecord> hosts) {
        return Ownership.owner(backend, HOME, hosts).orElseThrow();
    }

    private static List<BackendId> backends() {
        return IntStream.range(0, BACKENDS)
                .mapToObj(i -> new BackendId("engine-" + i))
                .collect(Collectors.toList());
    }

    private static List<HostRecord> hosts(FailureDomain domain, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Incarnation(new HostId(domain + "-" + i), 1))
                .map(i -> new HostRecord(i, domain, "127.0.0.1", 1, 2, HostState.ALIVE))
                .collect(Collectors.toList());
    }
}
