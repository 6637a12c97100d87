package org.cyclamenpaddle.relay.backend;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests {@link PrefillThroughput}. */
public class PrefillThroughputTest {

    /** A prefill that waits behind others does not show the throughput of the engine. */
    @Test
    public void fastestRecentSampleIsUsed() {
        PrefillThroughput throughput = new PrefillThroughput();
        throughput.add(5_000, 1_000);
        assertEquals(throughput.tokensPerMilli(), 5.0);
        throughput.add(5_000, 100);
        throughput.add(5_000, 500);
        assertEquals(throughput.tokensPerMilli(), 50.0);
    }

    /** If an engine becomes permanently slow, the estimate follows after one window of samples. */
    @Test
    public void oldFastSamplesLeaveTheWindow() {
        PrefillThroughput throughput = new PrefillThroughput();
        throughput.add(5_000, 100);
        for (int i = 0; i < 64; i++) {
            throughput.add(5_000, 1_000);
        }
        assertEquals(throughput.tokensPerMilli(), 5.0);
    }
}
