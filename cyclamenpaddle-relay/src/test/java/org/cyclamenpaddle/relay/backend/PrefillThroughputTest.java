package org.cyclamenpaddle.relay.backend;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests what is learned of how fast prefill engines read. */
public class PrefillThroughputTest {

    /** Readings that queue behind others say nothing of how fast an engine reads. */
    @Test
    public void fastestReadingOfLateCounts() {
        PrefillThroughput speed = new PrefillThroughput();
        speed.read(5_000, 1_000);
        assertEquals(speed.tokensPerMilli(), 5.0);
        speed.read(5_000, 100);
        speed.read(5_000, 500);
        assertEquals(speed.tokensPerMilli(), 50.0);
    }

    /** An engine that has become slow for good is believed after some readings. */
    @Test
    public void fastReadingsOfBeforeAreForgotten() {
        PrefillThroughput speed = new PrefillThroughput();
        speed.read(5_000, 100);
        for (int i = 0; i < 64; i++) {
            speed.read(5_000, 1_000);
        }
        assertEquals(speed.tokensPerMilli(), 5.0);
    }
}
