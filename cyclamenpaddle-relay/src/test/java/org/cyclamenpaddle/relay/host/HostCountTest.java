package org.cyclamenpaddle.relay.host;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.util.List;
import org.cyclamenpaddle.relay.store.Entry;
import org.testng.annotations.Test;

/** Tests that hosts count while their entries change, and that entries left behind are removed. */
public class HostCountTest {

    private static Entry<Long> entry(String host, long beat) {
        return new Entry<>(host, Either.right(beat));
    }

    @Test
    public void hostWhoseEntryStandsStillCountsNoMore() {
        HostCount count = new HostCount();
        assertEquals(count.alive(0), 0);
        count.listed(List.of(entry("a", 1), entry("b", 1)), 0);
        assertEquals(count.alive(0), 2);
        long later = HostCount.ALIVE_MILLIS;
        count.listed(List.of(entry("a", 2), entry("b", 1)), later);
        assertEquals(count.alive(later), 1);
    }

    @Test
    public void entryLeftBehindIsRemovedInTheEnd() {
        HostCount count = new HostCount();
        count.listed(List.of(entry("a", 1)), 0);
        assertEquals(count.listed(List.of(entry("a", 1)), HostCount.REMOVE_MILLIS - 1), List.of());
        assertEquals(count.listed(List.of(entry("a", 1)), HostCount.REMOVE_MILLIS), List.of("a"));
        assertEquals(count.listed(List.of(), HostCount.REMOVE_MILLIS + 1), List.of());
    }
}
