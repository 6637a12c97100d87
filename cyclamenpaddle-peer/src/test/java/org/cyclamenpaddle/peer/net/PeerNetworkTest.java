package org.cyclamenpaddle.peer.net;

import static org.cyclamenpaddle.peer.net.TestHosts.SILENT;
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

    private static final long PATIENCE_MILLIS = 20_000;

    @Test
    public void oneWayMessageArrivesWithItsSender() throws Exception {
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        PeerListener listener =
                (from, message) -> {
                    heard.add(from.incarnation().host() + " " + message);
                    return CompletableFuture.completedFuture(Optional.empty());
                };
        try (Node a = node("a", SILENT);
                Node b = node("b", listener)) {
            GrantRelease end = new GrantRelease(new AttemptId("a:1:1"), new BackendId("runner-1"));
            a.network().send(b.host(), end);
            assertEquals(heard.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "a " + end);
        }
    }

    @Test
    public void answersInAnyOrderReachTheirOwnAskers() throws Exception {
        // Callers of three hosts' keys see each their own answer. Three asks go out on one
        // connection and their answers come back in reverse; an answer handed out by order instead
        // of by number would tell one caller the fate of another's booking.
        Map<String, CompletableFuture<Optional<PeerMessage>>> held = new HashMap<>();
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        PeerListener listener =
                (from, message) -> {
                    CompletableFuture<Optional<PeerMessage>> answer = new CompletableFuture<>();
                    held.put(((ClaimRequest) message).key(), answer);
                    asked.add(((ClaimRequest) message).key());
                    return answer;
                };
        try (Node a = node("a", SILENT);
                Node b = node("b", listener)) {
            List<CompletableFuture<Either<PeerError, PeerMessage>>> answers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                answers.add(a.network().request(b.host(), claimAsk("key-" + i), PATIENCE_MILLIS));
                assertEquals(asked.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "key-" + i);
            }
            for (int i = 2; i >= 0; i--) {
                held.get("key-" + i).complete(Optional.of(ran("answer-" + i)));
            }
            for (int i = 0; i < 3; i++) {
                assertEquals(answers.get(i).get(), Either.right(ran("answer-" + i)));
            }
        }
    }

    @Test
    public void probeTellsAliveDeadAndReplacedHosts() throws Exception {
        try (Node a = node("a", SILENT);
                Node b = node("b", SILENT)) {
            assertTrue(a.network().probe(b.host(), PATIENCE_MILLIS).get());
            HostRecord laterLife = host("b", 2, b.host().peerPort());
            assertFalse(a.network().probe(laterLife, PATIENCE_MILLIS).get());
            assertFalse(a.network().probe(host("c", unboundPort()), PATIENCE_MILLIS).get());
        }
    }

    @Test
    public void askOfUnreachableHostFailsAsNeverSent() throws Exception {
        try (Node a = node("a", SILENT)) {
            HostRecord gone = host("b", unboundPort());
            assertEquals(
                    a.network().request(gone, claimAsk("key"), PATIENCE_MILLIS).get().getLeft(),
                    PeerError.UNREACHABLE);
        }
    }

    @Test
    public void closedNetworkRefusesAtOnce() throws Exception {
        Node a = node("a", SILENT);
        a.close();
        HostRecord other = host("b", 1);
        a.network().send(other, claimAsk("key"));
        assertEquals(
                a.network().request(other, claimAsk("key"), PATIENCE_MILLIS).get().getLeft(),
                PeerError.CLOSED);
        assertFalse(a.network().probe(other, PATIENCE_MILLIS).get());
    }

    static ClaimRequest claimAsk(String key) {
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
