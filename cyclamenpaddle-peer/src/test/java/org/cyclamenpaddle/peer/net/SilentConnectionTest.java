package org.cyclamenpaddle.peer.net;

import static org.cyclamenpaddle.peer.net.PeerNetworkTest.claimAsk;
import static org.cyclamenpaddle.peer.net.PeerNetworkTest.ran;
import static org.cyclamenpaddle.peer.net.TestHosts.SILENT;
import static org.cyclamenpaddle.peer.net.TestHosts.host;
import static org.cyclamenpaddle.peer.net.TestHosts.node;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.ClaimAsk;
import org.cyclamenpaddle.core.message.GrantEnd;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.net.TestHosts.Node;
import org.testng.annotations.Test;

public class SilentConnectionTest {

    private static final long SHORT_MILLIS = 200;
    private static final long PATIENCE_MILLIS = 20_000;

    /** Asks for signs of life so seldom that a test ends before. */
    private static final PeerSettings NO_SIGNS =
            new PeerSettings(1, 5_000, 10, 100, 60_000, 60_000, 64, 5_000, 16);

    private static final PeerSettings QUICK_SIGNS =
            new PeerSettings(1, 5_000, 10, 100, 50, 60_000, 64, 5_000, 16);

    @Test
    public void askThatTimesOutOnSilentConnectionGivesItUp() throws Exception {
        // A caller asks for the fate of its booking, time after time in vain. The connection to the
        // claimer was lost track of after its hello and swallows every ask, while a new one works.
        // The first ask times out and takes the connection with it; the second is answered.
        CountingPeers counters = new CountingPeers();
        PeerListener answering =
                (from, message) ->
                        CompletableFuture.completedFuture(Optional.<PeerMessage>of(ran("yes")));
        try (Node a = node("a", SILENT, NO_SIGNS, counters);
                Node b = node("b", answering);
                SilencingRelay relay = new SilencingRelay(b.host().peerPort())) {
            HostRecord target = host("b", relay.port());
            assertEquals(
                    a.network().ask(target, claimAsk("key"), SHORT_MILLIS).get(),
                    Either.left(PeerError.TIMED_OUT));
            assertEquals(counters.next(), "replaced");
            assertEquals(
                    a.network().ask(target, claimAsk("key"), PATIENCE_MILLIS).get(),
                    Either.right(ran("yes")));
        }
    }

    @Test
    public void oneWayMessagesFindTheirWayOutOfSilentConnection() throws Exception {
        // A host is held for dead though it lives: its heartbeats need no answer, so a silent
        // connection would swallow them for good. It asks for a sign of life, gets none, and the
        // heartbeats that follow go over a new connection.
        CountingPeers counters = new CountingPeers();
        BlockingQueue<PeerMessage> heard = new LinkedBlockingQueue<>();
        PeerListener hearing =
                (from, message) -> {
                    heard.add(message);
                    return CompletableFuture.completedFuture(Optional.empty());
                };
        GrantEnd end = new GrantEnd(new AttemptId("a:1:1"), new BackendId("runner-1"));
        try (Node a = node("a", SILENT, QUICK_SIGNS, counters);
                Node b = node("b", hearing);
                SilencingRelay relay = new SilencingRelay(b.host().peerPort())) {
            HostRecord target = host("b", relay.port());
            a.network().send(target, end);
            assertEquals(counters.next(), "replaced");
            assertTrue(heard.isEmpty());
            a.network().send(target, end);
            assertNotNull(heard.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    public void lateAnswerReachesNoOtherAsker() throws Exception {
        // A caller would be told the fate of another's booking. One ask times out, its answer comes
        // late, while a later ask waits on the same connection; the number tells them apart.
        CompletableFuture<Optional<PeerMessage>> late = new CompletableFuture<>();
        CompletableFuture<Optional<PeerMessage>> second = new CompletableFuture<>();
        CompletableFuture<Void> secondAsked = new CompletableFuture<>();
        PeerListener listener =
                (from, message) -> {
                    if (((ClaimAsk) message).key().equals("late")) {
                        return late;
                    }
                    secondAsked.complete(null);
                    return second;
                };
        try (Node a = node("a", SILENT, NO_SIGNS, PeerCounters.NONE);
                Node b = node("b", listener)) {
            CompletableFuture<Either<PeerError, PeerMessage>> first =
                    a.network().ask(b.host(), claimAsk("late"), SHORT_MILLIS);
            assertEquals(first.get(), Either.left(PeerError.TIMED_OUT));
            CompletableFuture<Either<PeerError, PeerMessage>> later =
                    a.network().ask(b.host(), claimAsk("second"), PATIENCE_MILLIS);
            secondAsked.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            late.complete(Optional.of(ran("late")));
            second.complete(Optional.of(ran("second")));
            assertEquals(later.get(), Either.right(ran("second")));
        }
    }

    @Test
    public void hostAtAnotherHostsAddressGetsNoMessage() throws Exception {
        CountingPeers counters = new CountingPeers();
        BlockingQueue<PeerMessage> heard = new LinkedBlockingQueue<>();
        PeerListener hearing =
                (from, message) -> {
                    heard.add(message);
                    return CompletableFuture.completedFuture(Optional.empty());
                };
        try (Node a = node("a", SILENT, NO_SIGNS, counters);
                Node b = node("b", hearing)) {
            HostRecord replaced = host("c", b.host().peerPort());
            assertEquals(
                    a.network().ask(replaced, claimAsk("key"), PATIENCE_MILLIS).get(),
                    Either.left(PeerError.UNREACHABLE));
            assertEquals(counters.next(), "refused BAD_HELLO");
            assertTrue(heard.isEmpty());
        }
    }
}
