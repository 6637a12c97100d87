package org.cyclamenpaddle.peer.net;

import static org.cyclamenpaddle.peer.net.PeerNetworkTest.claimRequest;
import static org.cyclamenpaddle.peer.net.PeerNetworkTest.ran;
import static org.cyclamenpaddle.peer.net.TestHosts.NO_RESPONSE;
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
import org.cyclamenpaddle.core.time.MonotonicClock;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.cyclamenpaddle.peer.net.TestHosts.Node;
import org.testng.annotations.Test;

public class ConnectionFaultsTest {

    private static final long SHORT_TIMEOUT_MILLIS = 200;
    private static final long CONNECT_MILLIS = 500;
    private static final long TIMEOUT_MILLIS = 20_000;

    private static final GrantRelease RELEASE =
            new GrantRelease(new AttemptId("a:1:1"), new BackendId("runner-1"));

    @Test
    public void requestTimeoutReplacesSilentConnection() throws Exception {
        // A connection that a middlebox lost track of swallows every request, while a new one
        // works. The first request to time out must replace the connection, so that the next one
        // gets its response.
        RecordingPeerCounters counters = new RecordingPeerCounters();
        PeerListener responding =
                (from, message) ->
                        CompletableFuture.completedFuture(Optional.<PeerMessage>of(ran("yes")));
        try (Node a = node("a", NO_RESPONSE, TestHosts.NO_LIVENESS_CHECKS, counters);
                Node b = node("b", responding);
                SilencingRelay relay = new SilencingRelay(b.host().peerPort())) {
            HostRecord target = host("b", relay.port());
            assertEquals(
                    a.network().request(target, claimRequest("key"), TIMEOUT_MILLIS).get(),
                    Either.right(ran("yes")));
            relay.silence();
            assertEquals(
                    a.network()
                            .request(target, claimRequest("key"), SHORT_TIMEOUT_MILLIS)
                            .get()
                            .getLeft(),
                    PeerError.TIMED_OUT);
            assertEquals(counters.next(), "replaced");
            assertEquals(
                    a.network().request(target, claimRequest("key"), TIMEOUT_MILLIS).get(),
                    Either.right(ran("yes")));
        }
    }

    @Test
    public void livenessCheckReplacesSilentConnectionOfOneWayMessages() throws Exception {
        // Heartbeats take no response, so a silent connection would lose them unnoticed, and the
        // host would be considered dead. The liveness check goes unanswered, and the following
        // messages must use a new connection.
        RecordingPeerCounters counters = new RecordingPeerCounters();
        VirtualClock clock = new VirtualClock(0);
        BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        try (Node a = node("a", NO_RESPONSE, TestHosts.LIVENESS_CHECKS, clock, counters);
                Node b = node("b", recording(received));
                SilencingRelay relay = new SilencingRelay(b.host().peerPort())) {
            HostRecord target = host("b", relay.port());
            a.network().send(target, RELEASE);
            assertEquals(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), RELEASE);
            relay.silence();
            a.network().send(target, RELEASE);
            clock.advance(TestHosts.LIVENESS_CHECKS.silentMillis());
            assertEquals(counters.next(), "replaced");
            assertTrue(received.isEmpty());
            a.network().send(target, RELEASE);
            assertEquals(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), RELEASE);
        }
    }

    @Test
    public void responsesThatArrivedDuringADelayOfTheEventLoopAreReceived() throws Exception {
        // The event loop of a host handles input for longer than a request may take. Its response
        // has arrived by then and is read next. If the request timed out instead, its owner would
        // count as silent, and the connection would be closed with all requests on it.
        RecordingPeerCounters counters = new RecordingPeerCounters();
        Map<String, CompletableFuture<Optional<PeerMessage>>> responses =
                Map.of("short", new CompletableFuture<>(), "long", new CompletableFuture<>());
        BlockingQueue<String> requested = new LinkedBlockingQueue<>();
        PeerListener responding =
                (from, message) -> {
                    requested.add(((ClaimRequest) message).key());
                    return responses.get(((ClaimRequest) message).key());
                };
        PeerListener busy =
                (from, message) -> {
                    responses.get("short").complete(Optional.of(ran("short")));
                    sleep(5 * SHORT_TIMEOUT_MILLIS);
                    return CompletableFuture.completedFuture(Optional.empty());
                };
        try (Node a = node("a", busy, TestHosts.NO_LIVENESS_CHECKS, counters);
                Node b = node("b", responding)) {
            CompletableFuture<Either<PeerError, PeerMessage>> longResponse =
                    a.network().request(b.host(), claimRequest("long"), TIMEOUT_MILLIS);
            requested.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            CompletableFuture<Either<PeerError, PeerMessage>> shortResponse =
                    a.network().request(b.host(), claimRequest("short"), SHORT_TIMEOUT_MILLIS);
            requested.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            b.network().send(a.host(), RELEASE);
            assertEquals(shortResponse.get(), Either.right(ran("short")));
            responses.get("long").complete(Optional.of(ran("long")));
            assertEquals(longResponse.get(), Either.right(ran("long")));
            assertTrue(counters.isEmpty(), "a connection was replaced");
        }
    }

    @Test
    public void connectionOpenedDuringADelayOfTheEventLoopIsUsed() throws Exception {
        // The event loop of a host handles input for longer than an attempt to connect may take.
        // The Hello of the other host has arrived by then. If the attempt failed instead, all
        // messages to that host would fail, and the next attempt would wait for the backoff.
        PeerSettings settings =
                new PeerSettings(1, CONNECT_MILLIS, 60_000, 60_000, 60_000, 60_000, 64, 20_000, 16);
        BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        PeerListener busyAtRelease =
                (from, message) -> {
                    received.add(message);
                    if (message.equals(RELEASE)) {
                        sleep(2 * CONNECT_MILLIS);
                    }
                    return CompletableFuture.completedFuture(Optional.empty());
                };
        PeerListener responding =
                (from, message) -> CompletableFuture.completedFuture(Optional.of(ran("yes")));
        try (Node a = node("a", busyAtRelease, settings, PeerCounters.NONE);
                Node c = node("c", NO_RESPONSE);
                PeerNetwork b =
                        new PeerNetwork(
                                () -> {
                                    // Host b says Hello when host a has become busy.
                                    c.network().send(a.host(), RELEASE);
                                    while (!received.contains(RELEASE)) {
                                        sleep(1);
                                    }
                                    return host("b", 0);
                                },
                                responding,
                                TestHosts.NO_LIVENESS_CHECKS,
                                new MonotonicClock(),
                                PeerCounters.NONE)) {
            HostRecord target = host("b", b.start(TestHosts.LOOPBACK, 0).get());
            c.network().send(a.host(), claimRequest("opens the connection"));
            received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals(
                    a.network().request(target, claimRequest("key"), TIMEOUT_MILLIS).get(),
                    Either.right(ran("yes")));
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    @Test
    public void lateResponseCompletesNoOtherRequest() throws Exception {
        // A request times out on a connection that stays open because it is in use. Its late
        // response arrives while a later request is pending on the same connection and must not
        // complete that one: a caller would see the result of another's booking. The correlation
        // number distinguishes them.
        Map<String, CompletableFuture<Optional<PeerMessage>>> responses =
                Map.of(
                        "late", new CompletableFuture<>(),
                        "quick", CompletableFuture.completedFuture(Optional.of(ran("quick"))),
                        "second", new CompletableFuture<>());
        BlockingQueue<String> requested = new LinkedBlockingQueue<>();
        PeerListener listener =
                (from, message) -> {
                    requested.add(((ClaimRequest) message).key());
                    return responses.get(((ClaimRequest) message).key());
                };
        VirtualClock clock = new VirtualClock(0);
        try (Node a =
                        node(
                                "a",
                                NO_RESPONSE,
                                TestHosts.NO_LIVENESS_CHECKS,
                                clock,
                                PeerCounters.NONE);
                Node b = node("b", listener)) {
            CompletableFuture<Either<PeerError, PeerMessage>> lateResponse =
                    a.network().request(b.host(), claimRequest("late"), SHORT_TIMEOUT_MILLIS);
            requested.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            clock.advance(1);
            assertEquals(
                    a.network().request(b.host(), claimRequest("quick"), TIMEOUT_MILLIS).get(),
                    Either.right(ran("quick")));
            assertEquals(lateResponse.get().getLeft(), PeerError.TIMED_OUT);
            requested.clear();
            CompletableFuture<Either<PeerError, PeerMessage>> secondResponse =
                    a.network().request(b.host(), claimRequest("second"), TIMEOUT_MILLIS);
            requested.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            responses.get("late").complete(Optional.of(ran("late")));
            responses.get("second").complete(Optional.of(ran("second")));
            assertEquals(secondResponse.get(), Either.right(ran("second")));
        }
    }

    @Test
    public void connectionClosedAfterHelloIsReplacedOnlyAfterBackoff() throws Exception {
        // A host that closes each connection after its Hello would be dialed in a tight loop while
        // frames are queued, at the cost of both hosts' CPU time. On a clock that stands still the
        // backoff never ends, so the second request must fail without another connection.
        PeerListener closing =
                (from, message) -> {
                    throw new IllegalStateException("close");
                };
        try (Node a =
                        node(
                                "a",
                                NO_RESPONSE,
                                TestHosts.NO_LIVENESS_CHECKS,
                                new VirtualClock(0),
                                PeerCounters.NONE);
                Node b = node("b", closing)) {
            assertEquals(
                    a.network()
                            .request(b.host(), claimRequest("key"), TIMEOUT_MILLIS)
                            .get()
                            .getLeft(),
                    PeerError.CONNECTION_LOST);
            assertEquals(
                    a.network()
                            .request(b.host(), claimRequest("key"), TIMEOUT_MILLIS)
                            .get()
                            .getLeft(),
                    PeerError.UNREACHABLE);
        }
    }

    @Test
    public void brokenInvariantInListenerIsNotSwallowed() throws Exception {
        // The I/O library catches what its handlers throw. A broken invariant must reach the
        // uncaught exception handler all the same, or the process would continue with an
        // inconsistent state.
        BlockingQueue<Throwable> uncaught = new LinkedBlockingQueue<>();
        Thread.UncaughtExceptionHandler previous = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> uncaught.add(failure));
        PeerListener broken =
                (from, message) -> {
                    throw new BrokenInvariantException("two owners");
                };
        try (Node a = node("a", NO_RESPONSE);
                Node b = node("b", broken)) {
            a.network().send(b.host(), RELEASE);
            Throwable failure = uncaught.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(failure instanceof BrokenInvariantException, String.valueOf(failure));
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(previous);
        }
    }

    @Test
    public void hostAtAnotherHostsAddressGetsNoMessage() throws Exception {
        RecordingPeerCounters counters = new RecordingPeerCounters();
        BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        try (Node a = node("a", NO_RESPONSE, TestHosts.NO_LIVENESS_CHECKS, counters);
                Node b = node("b", recording(received))) {
            HostRecord replaced = host("c", b.host().peerPort());
            assertEquals(
                    a.network()
                            .request(replaced, claimRequest("key"), TIMEOUT_MILLIS)
                            .get()
                            .getLeft(),
                    PeerError.UNREACHABLE);
            assertEquals(counters.next(), "rejected BAD_HELLO");
            assertTrue(received.isEmpty());
        }
    }

    private static PeerListener recording(BlockingQueue<PeerMessage> received) {
        return (from, message) -> {
            received.add(message);
            return CompletableFuture.completedFuture(Optional.empty());
        };
    }
}
