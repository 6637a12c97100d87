package org.cyclamenpaddle.relay.host;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.util.List;
import org.cyclamenpaddle.relay.store.StoreEntry;
import org.testng.annotations.Test;

/** Tests that hosts count while their entries change, and that stale entries are removed. */
public class HostCountTest {

    private static StoreEntry<Long> entry(String host, long heartbeat) {
        return new StoreEntry<>(host, Either.right(heartbeat));
    }

    @Test
    public void hostWithUnchangedEntryIsNotCounted() {
        HostCount count = new HostCount();
        assertEquals(count.aliveHosts(0), 0);
        count.applyListing(List.of(entry("a", 1), entry("b", 1)), 0);
        assertEquals(count.aliveHosts(0), 2);
        long later = HostCount.ALIVE_TIMEOUT_MILLIS;
        count.applyListing(List.of(entry("a", 2), entry("b", 1)), later);
        assertEquals(count.aliveHosts(later), 1);
    }

    @Test
    public void staleEntryIsRemoved() {
        HostCount count = new HostCount();
        count.applyListing(List.of(entry("a", 1)), 0);
        assertEquals(
                count.applyListing(List.of(entry("a", 1)), HostCount.REMOVAL_TIMEOUT_MILLIS - 1),
                List.of());
        assertEquals(
                count.applyListing(List.of(entry("a", 1)), HostCount.REMOVAL_TIMEOUT_MILLIS),
                List.of("a"));
        assertEquals(
                count.applyListing(List.of(), HostCount.REMOVAL_TIMEOUT_MILLIS + 1), List.of());
    }
}
