package org.cyclamenpaddle.peer.net;

import static org.cyclamenpaddle.peer.net.TestHosts.NO_RESPONSE;
import static org.cyclamenpaddle.peer.net.TestHosts.host;
import static org.cyclamenpaddle.peer.net.TestHosts.node;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.GrantRelease;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.net.TestHosts.Node;
import org.testng.annotations.Test;

public class PeerNetworkTest {

    private static final long TIMEOUT_MILLIS = 20_000;

    @Test
    public void oneWayMessageArrivesWithItsSender() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        PeerListener listener =
                (from, message) -> {
                    received.add(from.incarnation().host() + " " + message);
                    return CompletableFuture.completedFuture(Optional.empty());
                };
        try (Node a = node("a", NO_RESPONSE);
                Node b = node("b", listener)) {
            GrantRelease release =
                    new GrantRelease(new AttemptId("a:1:1"), new BackendId("runner-1"));
            a.network().send(b.host(), release);
            assertEquals(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "a " + release);
        }
    }

    @Test
    public void responsesInAnyOrderCompleteTheirOwnRequests() throws Exception {
        // Three requests are sent on one connection, and their responses arrive in reverse order.
        // If responses were matched by order instead of by correlation number, a caller would see
        // the result of another's booking.
        Map<String, CompletableFuture<Optional<PeerMessage>>> pending = new HashMap<>();
        BlockingQueue<String> requested = new LinkedBlockingQueue<>();
        PeerListener listener =
                (from, message) -> {
                    CompletableFuture<Optional<PeerMessage>> response = new CompletableFuture<>();
                    pending.put(((ClaimRequest) message).key(), response);
                    requested.add(((ClaimRequest) message).key());
                    return response;
                };
        try (Node a = node("a", NO_RESPONSE);
                Node b = node("b", listener)) {
            List<CompletableFuture<Either<PeerError, PeerMessage>>> responses = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                responses.add(
                        a.network().request(b.host(), claimRequest("key-" + i), TIMEOUT_MILLIS));
                assertEquals(requested.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "key-" + i);
            }
            for (int i = 2; i >= 0; i--) {
                pending.get("key-" + i).complete(Optional.of(ran("answer-" + i)));
            }
            for (int i = 0; i < 3; i++) {
                assertEquals(responses.get(i).get(), Either.right(ran("answer-" + i)));
            }
        }
    }

    @Test
    public void probeDistinguishesAliveDeadAndReplacedHosts() throws Exception {
        try (Node a = node("a", NO_RESPONSE);
                Node b = node("b", NO_RESPONSE)) {
            assertTrue(a.network().probe(b.host(), TIMEOUT_MILLIS).get());
            HostRecord laterIncarnation = host("b", 2, b.host().peerPort());
            assertFalse(a.network().probe(laterIncarnation, TIMEOUT_MILLIS).get());
            assertFalse(a.network().probe(host("c", unboundPort()), TIMEOUT_MILLIS).get());
        }
    }

    @Test
    public void requestToUnreachableHostFailsAsNotSent() throws Exception {
        try (Node a = node("a", NO_RESPONSE)) {
            HostRecord unreachable = host("b", unboundPort());
            assertEquals(
                    a.network()
                            .request(unreachable, claimRequest("key"), TIMEOUT_MILLIS)
                            .get()
                            .getLeft(),
                    PeerError.UNREACHABLE);
        }
    }

    @Test
    public void closedNetworkFailsRequestsAtOnce() throws Exception {
        Node a = node("a", NO_RESPONSE);
        a.close();
        HostRecord other = host("b", 1);
        a.network().send(other, claimRequest("key"));
        assertEquals(
                a.network().request(other, claimRequest("key"), TIMEOUT_MILLIS).get().getLeft(),
                PeerError.CLOSED);
        assertFalse(a.network().probe(other, TIMEOUT_MILLIS).get());
    }

    static ClaimRequest claimRequest(String key) {
        return new ClaimRequest(new ServiceName("spot-book"), key);
    }

    static ClaimResponse ran(String body) {
        return new ClaimResponse(
                ClaimResponse.State.RAN,
                Optional.of(new ClaimResponse.StoredResponse(200, "text/plain", body)));
    }

    private static int unboundPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
