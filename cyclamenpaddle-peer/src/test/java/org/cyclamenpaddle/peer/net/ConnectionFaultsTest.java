package org.cyclamenpaddle.peer.net;

import static org.cyclamenpaddle.peer.net.PeerNetworkTest.claimAsk;
import static org.cyclamenpaddle.peer.net.PeerNetworkTest.ran;
import static org.cyclamenpaddle.peer.net.TestHosts.SILENT;
import static org.cyclamenpaddle.peer.net.TestHosts.host;
import static org.cyclamenpaddle.peer.net.TestHosts.node;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.GrantRelease;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.cyclamenpaddle.peer.net.TestHosts.Node;
import org.testng.annotations.Test;

public class ConnectionFaultsTest {

    private static final long SHORT_MILLIS = 200;
    private static final long PATIENCE_MILLIS = 20_000;

    private static final GrantRelease END =
            new GrantRelease(new AttemptId("a:1:1"), new BackendId("runner-1"));

    @Test
    public void askThatTimesOutOnSilentConnectionGivesItUp() throws Exception {
        // A caller asks for the fate of its booking, time after time in vain. The connection to the
        // claimer was lost track of and swallows every ask, while a new one works. The first ask
        // times out and takes the connection with it; the next is answered.
        CountingPeers counters = new CountingPeers();
        PeerListener answering =
                (from, message) ->
                        CompletableFuture.completedFuture(Optional.<PeerMessage>of(ran("yes")));
        try (Node a = node("a", SILENT, TestHosts.NO_SIGNS, counters);
                Node b = node("b", answering);
                SilencingRelay relay = new SilencingRelay(b.host().peerPort())) {
            HostRecord target = host("b", relay.port());
            assertEquals(
                    a.network().request(target, claimAsk("key"), PATIENCE_MILLIS).get(),
                    Either.right(ran("yes")));
            relay.silence();
            assertEquals(
                    a.network().request(target, claimAsk("key"), SHORT_MILLIS).get().getLeft(),
                    PeerError.TIMED_OUT);
            assertEquals(counters.next(), "replaced");
            assertEquals(
                    a.network().request(target, claimAsk("key"), PATIENCE_MILLIS).get(),
                    Either.right(ran("yes")));
        }
    }

    @Test
    public void oneWayMessagesFindTheirWayOutOfSilentConnection() throws Exception {
        // A host is held for dead though it lives: its heartbeats need no answer, so a silent
        // connection would swallow them for good. It asks for a sign of life, gets none, and the
        // heartbeats that follow go over a new connection.
        CountingPeers counters = new CountingPeers();
        VirtualClock clock = new VirtualClock(0);
        BlockingQueue<PeerMessage> heard = new LinkedBlockingQueue<>();
        try (Node a = node("a", SILENT, TestHosts.SIGNS, clock, counters);
                Node b = node("b", hearing(heard));
                SilencingRelay relay = new SilencingRelay(b.host().peerPort())) {
            HostRecord target = host("b", relay.port());
            a.network().send(target, END);
            assertEquals(heard.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), END);
            relay.silence();
            a.network().send(target, END);
            clock.advance(TestHosts.SIGNS.silentMillis());
            assertEquals(counters.next(), "replaced");
            assertTrue(heard.isEmpty());
            a.network().send(target, END);
            assertEquals(heard.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), END);
        }
    }

    @Test
    public void lateAnswerReachesNoOtherAsker() throws Exception {
        // A caller would be told the fate of another's booking. One ask times out on a connection
        // that is in use, so that it stays open; its answer comes late, while a later ask waits on
        // the same connection. The number tells them apart.
        Map<String, CompletableFuture<Optional<PeerMessage>>> answers =
                Map.of(
                        "late", new CompletableFuture<>(),
                        "quick", CompletableFuture.completedFuture(Optional.of(ran("quick"))),
                        "second", new CompletableFuture<>());
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        PeerListener listener =
                (from, message) -> {
                    asked.add(((ClaimRequest) message).key());
                    return answers.get(((ClaimRequest) message).key());
                };
        VirtualClock clock = new VirtualClock(0);
        try (Node a = node("a", SILENT, TestHosts.NO_SIGNS, clock, PeerCounters.NONE);
                Node b = node("b", listener)) {
            CompletableFuture<Either<PeerError, PeerMessage>> late =
                    a.network().request(b.host(), claimAsk("late"), SHORT_MILLIS);
            asked.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            clock.advance(1);
            assertEquals(
                    a.network().request(b.host(), claimAsk("quick"), PATIENCE_MILLIS).get(),
                    Either.right(ran("quick")));
            assertEquals(late.get().getLeft(), PeerError.TIMED_OUT);
            asked.clear();
            CompletableFuture<Either<PeerError, PeerMessage>> second =
                    a.network().request(b.host(), claimAsk("second"), PATIENCE_MILLIS);
            asked.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            answers.get("late").complete(Optional.of(ran("late")));
            answers.get("second").complete(Optional.of(ran("second")));
            assertEquals(second.get(), Either.right(ran("second")));
        }
    }

    @Test
    public void hostThatHangsUpAfterItsHelloIsDialledAgainOnlyAfterWait() throws Exception {
        // Both hosts burn their processors: one says hello and hangs up, again and again, and the
        // other dials at once, as its frames still wait. On a clock that stands still the wait
        // never ends, so the second ask fails without another connection.
        PeerListener hangingUp =
                (from, message) -> {
                    throw new IllegalStateException("hang up");
                };
        try (Node a =
                        node(
                                "a",
                                SILENT,
                                TestHosts.NO_SIGNS,
                                new VirtualClock(0),
                                PeerCounters.NONE);
                Node b = node("b", hangingUp)) {
            assertEquals(
                    a.network().request(b.host(), claimAsk("key"), PATIENCE_MILLIS).get().getLeft(),
                    PeerError.CONNECTION_LOST);
            assertEquals(
                    a.network().request(b.host(), claimAsk("key"), PATIENCE_MILLIS).get().getLeft(),
                    PeerError.UNREACHABLE);
        }
    }

    @Test
    public void brokenInvariantInListenerIsNotSwallowed() throws Exception {
        // The process would go on with a state that it knows to be contradictory. The I/O library
        // catches what its handlers throw; a broken invariant must get out all the same.
        BlockingQueue<Throwable> uncaught = new LinkedBlockingQueue<>();
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> uncaught.add(failure));
        PeerListener broken =
                (from, message) -> {
                    throw new BrokenInvariantException("two owners");
                };
        try (Node a = node("a", SILENT);
                Node b = node("b", broken)) {
            a.network().send(b.host(), END);
            Throwable failure = uncaught.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(failure instanceof BrokenInvariantException, String.valueOf(failure));
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }

    @Test
    public void hostAtAnotherHostsAddressGetsNoMessage() throws Exception {
        CountingPeers counters = new CountingPeers();
        BlockingQueue<PeerMessage> heard = new LinkedBlockingQueue<>();
        try (Node a = node("a", SILENT, TestHosts.NO_SIGNS, counters);
                Node b = node("b", hearing(heard))) {
            HostRecord replaced = host("c", b.host().peerPort());
            assertEquals(
                    a.network().request(replaced, claimAsk("key"), PATIENCE_MILLIS).get().getLeft(),
                    PeerError.UNREACHABLE);
            assertEquals(counters.next(), "refused BAD_HELLO");
            assertTrue(heard.isEmpty());
        }
    }

    private static PeerListener hearing(BlockingQueue<PeerMessage> heard) {
        return (from, message) -> {
            heard.add(message);
            return CompletableFuture.completedFuture(Optional.empty());
        };
    }
}
