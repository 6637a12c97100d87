package org.cyclamenpaddle.relay.front;

import static org.testng.Assert.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests that a caller's going is told in the moment in which its connection closes. */
public class CallerConnectionTest {

    private final AtomicInteger mTold = new AtomicInteger();

    /**
     * A caller closes its connection while it waits for a place at an engine. The library would say
     * so a second later; by then its prompt was read and its generation begun, for nobody.
     */
    @Test
    public void closingIsToldAtOnce() {
        mTold.set(0);
        EmbeddedChannel channel = new EmbeddedChannel();
        new CallerConnection(channel).whenGone(mTold::incrementAndGet);
        channel.close();
        assertEquals(mTold.get(), 1);
    }

    @Test
    public void connectionThatClosedBeforeIsToldToo() {
        mTold.set(0);
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.close();
        new CallerConnection(channel).whenGone(mTold::incrementAndGet);
        assertEquals(mTold.get(), 1);
    }

    /** Many requests use one connection in turn; its end is news only for the one in flight. */
    @Test
    public void endedRequestHearsNothing() {
        mTold.set(0);
        EmbeddedChannel channel = new EmbeddedChannel();
        CallerConnection ended = new CallerConnection(channel);
        ended.whenGone(mTold::incrementAndGet);
        ended.close();
        CallerConnection endedBefore = new CallerConnection(channel);
        endedBefore.close();
        endedBefore.whenGone(mTold::incrementAndGet);
        channel.close();
        assertEquals(mTold.get(), 0);
    }
}
