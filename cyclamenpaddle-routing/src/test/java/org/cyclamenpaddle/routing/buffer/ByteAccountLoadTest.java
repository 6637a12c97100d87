package org.cyclamenpaddle.routing.buffer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Pattern: many callers that read slowly, and many large bodies, at once on one host.
 *
 * <p>The decision is one host's alone, so the number of hosts does not matter. The memory is that
 * of the smallest and the largest host of the deployments.
 */
public class ByteAccountLoadTest {

    private static final long NEVER = Long.MAX_VALUE;
    private static final long LENGTH = 200 << 10;

    /** Time in which a slow caller takes one part; a server does not wait for so long. */
    private static final long SLOW_PART_MILLIS = 1_500;

    @DataProvider
    public Object[][] memories() {
        return new Object[][] {{258}, {682}};
    }

    private static SlowReaderModel readers(ByteBounds bounds, int count, long leaveMillis) {
        ByteAccount account = new ByteAccount(bounds);
        SlowReaderModel model = new SlowReaderModel(account);
        IntStream.range(0, count).forEach(i -> model.add(LENGTH, SLOW_PART_MILLIS, leaveMillis));
        model.run();
        assertEquals(account.held(), 0);
        return model;
    }

    /*
     * Failure: a server aborts responses that stay unread for a second, and with them those of all
     * slow callers. Without reading ahead, all 50 are aborted.
     */
    @Test(dataProvider = "memories")
    public void slowReadersGetWholeResponses(int megabytes) {
        assertEquals(readers(ByteBounds.UNBOUNDED, 50, NEVER).aborted(), 50);
        SlowReaderModel model = readers(ByteBounds.ofMemory(megabytes), 50, NEVER);
        assertEquals(model.complete(), 50);
        assertEquals(model.aborted(), 0);
    }

    /*
     * Failure: responses read ahead of many slow callers exhaust the memory of the host, or leave
     * no room for any new request.
     */
    @Test(dataProvider = "memories")
    public void manySlowReadersLeaveRoomForOtherRequests(int megabytes) {
        ByteBounds bounds = ByteBounds.ofMemory(megabytes);
        SlowReaderModel model = readers(bounds, 500, NEVER);
        assertEquals(model.refused(), 0);
        assertEquals(model.complete() + model.aborted(), 500);
        assertTrue(model.complete() > 40, "complete: " + model.complete());
        long reserves = 500 * RequestBytes.RESPONSE_RESERVE_BYTES;
        assertTrue(model.mostHeld() <= bounds.readAheadBytes() + reserves, "" + model.mostHeld());
        assertTrue(model.mostHeld() <= bounds.totalBytes(), "held: " + model.mostHeld());
    }

    /** Failure: more slow callers than fit at all exceed the bound instead of being refused. */
    @Test(dataProvider = "memories")
    public void requestsBeyondTheBoundAreRefused(int megabytes) {
        ByteBounds bounds = ByteBounds.ofMemory(megabytes);
        SlowReaderModel model = readers(bounds, 6_000, NEVER);
        assertTrue(model.refused() > 0);
        assertTrue(model.mostHeld() <= bounds.totalBytes(), "held: " + model.mostHeld());
    }

    /** Failure: bytes of callers that left remain in the account. */
    @Test
    public void callersThatLeaveReleaseTheirBytes() {
        assertEquals(readers(ByteBounds.ofMemory(258), 50, 2_000).complete(), 0);
    }

    /** Whether callers state the length of their bodies, or send them in chunks. */
    @DataProvider
    public Object[][] bodies() {
        return new Object[][] {{true}, {false}};
    }

    /*
     * Failure: many large bodies that arrive at once exhaust the memory of the host. A body of a
     * stated length is refused before any of it is read.
     */
    @Test(dataProvider = "bodies")
    public void largeBodiesStayWithinTheBound(boolean stated) {
        long body = 4L << 20;
        long part = 64 << 10;
        ByteBounds bounds = ByteBounds.ofMemory(258);
        ByteAccount account = new ByteAccount(bounds);
        RequestBytes[] requests = new RequestBytes[100];
        boolean[] refused = new boolean[requests.length];
        for (int i = 0; i < requests.length; i++) {
            requests[i] = account.newRequest();
            refused[i] = !requests[i].tryAdmit(stated ? body : 0);
        }
        for (long read = 0; read < body; read += part) {
            for (int i = 0; i < requests.length; i++) {
                if (!refused[i] && !requests[i].tryAddBody(part)) {
                    assertTrue(!stated, "a body of an admitted length was refused");
                    refused[i] = true;
                    requests[i].close();
                }
                assertTrue(account.held() <= bounds.totalBytes());
            }
        }
        long served = IntStream.range(0, refused.length).filter(i -> !refused[i]).count();
        assertEquals(served, bounds.totalBytes() / (body + RequestBytes.RESPONSE_RESERVE_BYTES));
        IntStream.range(0, requests.length).forEach(i -> requests[i].close());
        assertEquals(account.held(), 0);
    }
}
