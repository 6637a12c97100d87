package org.cyclamenpaddle.routing.buffer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the bytes of a request are counted once and released once. */
public class RequestBytesTest {

    private static final BackendId SERVER = new BackendId("i-1");
    private static final BackendId OTHER = new BackendId("i-2");
    private static final ByteBounds BOUNDS = new ByteBounds(400_000, 200_000, 60_000, 50_000);
    private static final int SEEDS = 200;

    private ByteAccount mAccount;

    @BeforeMethod
    public void createAccount() {
        mAccount = new ByteAccount(BOUNDS);
    }

    private RequestBytes request(long body) {
        RequestBytes request = mAccount.newRequest();
        assertTrue(request.tryAdmit(body));
        assertTrue(request.tryAddBody(body));
        return request;
    }

    /** Failure: a body is counted again when its request is sent a second time. */
    @Test
    public void retriedBodyIsHeldOnce() {
        RequestBytes request = request(30_000);
        long held = mAccount.held();
        assertTrue(request.trySend(SERVER));
        assertTrue(request.trySend(OTHER));
        assertTrue(request.trySend(OTHER));
        assertEquals(mAccount.held(), held);
        assertEquals(mAccount.outstanding(SERVER), 0);
        assertEquals(mAccount.outstanding(OTHER), 30_000);
        request.close();
        assertEquals(mAccount.held(), 0);
        assertEquals(mAccount.outstanding(OTHER), 0);
    }

    /** Failure: one slow server gets bodies until its memory or that of the host is exhausted. */
    @Test
    public void serverGetsNoMoreThanItsPart() {
        RequestBytes first = request(30_000);
        assertTrue(first.trySend(SERVER));
        RequestBytes second = request(30_000);
        assertFalse(second.trySend(SERVER));
        assertEquals(mAccount.fullServers(30_000), Set.of(SERVER));
        assertEquals(mAccount.fullServers(20_000), Set.of());
        assertTrue(second.trySend(OTHER));
        first.sendEnded();
        assertTrue(second.trySend(SERVER));
        assertEquals(mAccount.outstanding(OTHER), 0);
    }

    /** Failure: the body is counted once where two servers have it, or goes on counting at both. */
    @Test
    public void bodyIsOutstandingAtBothServersUntilOneSendEnds() {
        RequestBytes request = request(30_000);
        long held = mAccount.held();
        assertTrue(request.trySend(SERVER));
        assertTrue(request.trySendBeside(OTHER));
        assertEquals(mAccount.held(), held, "the body itself is held once");
        assertEquals(mAccount.outstanding(SERVER), 30_000);
        assertEquals(mAccount.outstanding(OTHER), 30_000);
        request.sendEnded(SERVER);
        request.sendEnded(SERVER);
        assertEquals(mAccount.outstanding(SERVER), 0);
        assertEquals(mAccount.outstanding(OTHER), 30_000);
        assertTrue(request.trySend(SERVER));
        assertEquals(mAccount.outstanding(OTHER), 0);
        request.close();
        assertEquals(mAccount.outstanding(SERVER), 0);
        assertFalse(request.trySendBeside(OTHER));
    }

    /** Failure: a body that does not fit at a second server stops counting at the first one. */
    @Test
    public void bodyThatDoesNotFitBesideStaysOutstandingWhereItIs() {
        RequestBytes other = request(30_000);
        assertTrue(other.trySend(OTHER));
        RequestBytes request = request(30_000);
        assertTrue(request.trySend(SERVER));
        assertFalse(request.trySendBeside(OTHER));
        assertTrue(request.trySendBeside(SERVER), "it is outstanding there already");
        assertEquals(mAccount.outstanding(SERVER), 30_000);
        assertEquals(mAccount.outstanding(OTHER), 30_000);
    }

    /**
     * Failure: a body longer than a server's part can never be sent, although the host has room.
     */
    @Test
    public void longBodyIsSentToAnIdleServer() {
        assertTrue(request(90_000).trySend(SERVER));
        assertFalse(request(1).trySend(SERVER));
    }

    /** Failure: a request that is closed twice, or used after its end, changes the account. */
    @Test
    public void closedRequestHoldsNothing() {
        RequestBytes request = request(1_000);
        request.received(20_000);
        request.queued(20_000);
        request.close();
        request.close();
        request.delivered(20_000);
        request.received(9_000);
        assertTrue(request.isClosed());
        assertFalse(request.tryReadNext());
        assertFalse(request.tryAddBody(1));
        assertFalse(request.trySend(SERVER));
        assertEquals(mAccount.held(), 0);
        assertEquals(mAccount.outstanding(SERVER), 0);
    }

    /** Failure: a stream stops because an event does not fit, although its caller reads. */
    @Test
    public void responseGoesOnWhenItsCallerHasTakenEverything() {
        RequestBytes request = request(0);
        RequestBytes full = mAccount.newRequest();
        assertTrue(
                full.tryAdmit(
                        BOUNDS.totalBytes()
                                - mAccount.held()
                                - RequestBytes.RESPONSE_RESERVE_BYTES));
        request.received(8_000);
        request.queued(8_000);
        assertFalse(request.tryReadNext());
        request.delivered(8_000);
        assertTrue(request.tryReadNext());
        assertEquals(mAccount.held(), BOUNDS.totalBytes());
    }

    /** Failure: many small events take several times the memory that their bytes amount to. */
    @Test
    public void smallEventsCountWithTheirOverhead() {
        RequestBytes request = request(0);
        int events = 0;
        while (request.tryReadNext()) {
            request.received(100);
            request.queued(100);
            events++;
        }
        assertTrue(events * (100 + RequestBytes.PART_OVERHEAD_BYTES) <= BOUNDS.responseBytes());
        assertTrue(events > 70, "a whole stream of events is read ahead, not " + events);
    }

    /** Failure: one response takes the room of all others. */
    @Test
    public void responseIsReadAheadUpToItsBound() {
        RequestBytes request = request(0);
        while (request.tryReadNext()) {
            request.received(8_000);
            request.queued(8_000);
        }
        assertTrue(request.response() <= BOUNDS.responseBytes());
        assertTrue(request.response() > BOUNDS.responseBytes() - 2 * RequestBytes.PART_BYTES);
        request.delivered(8_000);
        assertTrue(request.tryReadNext());
    }

    /** Failure: some order of events exceeds the bound, or leaves bytes in the account. */
    @Test
    public void everyOrderOfEventsStaysWithinTheBoundAndEndsEmpty() {
        IntStream.range(0, SEEDS).forEach(this::run);
    }

    private void run(int seed) {
        Random random = new Random(seed);
        ByteAccount account = new ByteAccount(BOUNDS);
        RequestBytes[] requests = new RequestBytes[30];
        List<Deque<Integer>> unread = new ArrayList<>();
        IntStream.range(0, requests.length).forEach(i -> unread.add(new ArrayDeque<>()));
        for (int step = 0; step < 5_000; step++) {
            int i = random.nextInt(requests.length);
            if (requests[i] == null) {
                RequestBytes request = account.newRequest();
                int body = random.nextInt(40_000);
                if (request.tryAdmit(random.nextBoolean() ? body : 0) && request.tryAddBody(body)) {
                    requests[i] = request;
                    unread.get(i).clear();
                } else {
                    request.close();
                }
            } else if (random.nextInt(20) == 0) {
                requests[i].close();
                requests[i] = null;
            } else if (random.nextInt(4) == 0) {
                send(requests[i], random);
            } else if (random.nextBoolean() && !unread.get(i).isEmpty()) {
                requests[i].delivered(unread.get(i).remove());
            } else if (requests[i].tryReadNext()) {
                int part = 1 + random.nextInt((int) RequestBytes.PART_BYTES);
                requests[i].received(part);
                requests[i].queued(part);
                unread.get(i).add(part);
            }
            assertTrue(account.held() <= BOUNDS.totalBytes(), "seed " + seed);
            assertTrue(account.outstanding(SERVER) <= BOUNDS.serverBytes(), "seed " + seed);
        }
        for (RequestBytes request : requests) {
            if (request != null) {
                request.close();
            }
        }
        assertEquals(account.held(), 0, "seed " + seed);
        assertEquals(account.outstanding(SERVER) + account.outstanding(OTHER), 0, "seed " + seed);
    }

    private static void send(RequestBytes request, Random random) {
        BackendId server = random.nextBoolean() ? SERVER : OTHER;
        int choice = random.nextInt(4);
        if (choice == 0) {
            request.trySendBeside(server);
        } else if (choice == 1) {
            request.sendEnded(server);
        } else {
            request.trySend(server);
        }
    }
}
