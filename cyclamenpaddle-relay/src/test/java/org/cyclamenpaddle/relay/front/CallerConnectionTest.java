package org.cyclamenpaddle.relay.front;

import static org.testng.Assert.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests that a disconnected caller is reported when its connection closes. */
public class CallerConnectionTest {

    private final AtomicInteger mDisconnects = new AtomicInteger();

    /**
     * Failure: a caller disconnects while it waits for a reservation. The library reports it a
     * second later; by then its prompt has been prefilled and its generation started, although its
     * caller has disconnected.
     */
    @Test
    public void disconnectIsReportedImmediately() {
        mDisconnects.set(0);
        EmbeddedChannel channel = new EmbeddedChannel();
        new CallerConnection(channel).onDisconnect(mDisconnects::incrementAndGet);
        channel.close();
        assertEquals(mDisconnects.get(), 1);
    }

    @Test
    public void earlierDisconnectIsReported() {
        mDisconnects.set(0);
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.close();
        new CallerConnection(channel).onDisconnect(mDisconnects::incrementAndGet);
        assertEquals(mDisconnects.get(), 1);
    }

    /** A connection carries many requests in turn; its close concerns only the one in flight. */
    @Test
    public void closedWatchIsNotNotified() {
        mDisconnects.set(0);
        EmbeddedChannel channel = new EmbeddedChannel();
        CallerConnection ended = new CallerConnection(channel);
        ended.onDisconnect(mDisconnects::incrementAndGet);
        ended.close();
        CallerConnection endedBefore = new CallerConnection(channel);
        endedBefore.close();
        endedBefore.onDisconnect(mDisconnects::incrementAndGet);
        channel.close();
        assertEquals(mDisconnects.get(), 0);
    }
}
