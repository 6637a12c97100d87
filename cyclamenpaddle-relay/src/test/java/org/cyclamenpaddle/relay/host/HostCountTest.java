package org.cyclamenpaddle.relay.host;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.relay.store.StoreEntry;
import org.testng.annotations.Test;

/** Tests that hosts count while their entries change, and that stale entries are removed. */
public class HostCountTest {

    private static StoreEntry<HostEntry> entry(String host, long heartbeat) {
        return new StoreEntry<>(
                host,
                Either.right(
                        new HostEntry(
                                heartbeat,
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty(),
                                "")));
    }

    @Test
    public void hostWithUnchangedEntryIsNotCounted() {
        HostCount count = new HostCount();
        assertEquals(count.liveHosts(0).size(), 0);
        count.applyListing(List.of(entry("a", 1), entry("b", 1)), 0);
        assertEquals(count.liveHosts(0).size(), 2);
        long later = HostCount.ALIVE_TIMEOUT_MILLIS;
        count.applyListing(List.of(entry("a", 2), entry("b", 1)), later);
        assertEquals(count.liveHosts(later).stream().map(LiveHost::name).toList(), List.of("a"));
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
