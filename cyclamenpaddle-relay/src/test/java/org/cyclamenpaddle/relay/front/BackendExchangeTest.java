package org.cyclamenpaddle.relay.front;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.directive.Directives;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.testng.annotations.Test;

/** Tests the order of the events of one exchange. */
public class BackendExchangeTest {

    /** Decodes response heads only, which is all that an exchange needs. */
    private static final class Heads implements BackendMessages {

        @Override
        public RequestHeaders request(CallerRequest request, BackendCall call) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RequestHeaders healthCheck(Backend target, String path) {
            throw new UnsupportedOperationException();
        }

        @Override
        public BackendResponse response(ResponseHeaders headers) {
            return new BackendResponse(headers, Optional.of("r1"), true, false);
        }

        @Override
        public Directives directives(ResponseHeaders headers) {
            return Directives.NONE;
        }
    }

    /** Records the calls that it receives, in order. */
    private static final class Events implements ExchangeListener {

        private final List<String> mEvents = new ArrayList<>();
        private final CompletableFuture<Void> mEnd = new CompletableFuture<>();
        private BackendExchange mExchange;

        @Override
        public void head(BackendResponse head) {
            mEvents.add("head");
            mExchange.requestMore();
        }

        @Override
        public void data(HttpData data) {
            mEvents.add("data");
            mExchange.requestMore();
        }

        @Override
        public void complete(ResponseEnd end) {
            mEvents.add("complete");
            mEnd.complete(null);
        }

        @Override
        public void failed(SendOutcome outcome, Throwable cause) {
            mEvents.add("failed " + cause);
            mEnd.complete(null);
        }
    }

    /*
     * Failure: a caller gets 502 although the server responded correctly. The response arrived
     * before the relay had stored the exchange, and the exception that followed was taken for a
     * broken connection, which also ejected the server for half a second.
     */
    @Test
    public void immediateResponseIsDeliveredToTheStoredExchange() throws Exception {
        EventLoop loop = CommonPools.workerGroup().next();
        WebClient instant =
                WebClient.builder("h1c://127.0.0.1:1")
                        .decorator(
                                (delegate, context, request) ->
                                        HttpResponse.of(
                                                HttpStatus.OK, MediaType.PLAIN_TEXT, "here"))
                        .build();
        Events events = new Events();
        loop.submit(
                        () -> {
                            events.mExchange =
                                    BackendExchange.send(
                                            instant,
                                            RequestHeaders.of(HttpMethod.GET, "/"),
                                            HttpData.empty(),
                                            new Heads(),
                                            loop,
                                            events);
                            events.mExchange.subscribe();
                        })
                .get();
        events.mEnd.get();
        assertEquals(events.mEvents, List.of("head", "data", "complete"));
    }

    /**
     * Failure: a stream is broken off by its own next event, since the second send that the event
     * makes needless has no connection yet and its cancellation throws.
     */
    @Test
    public void exchangeWithoutAConnectionIsCancelledAsNotSent() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ClientFactory factory = ClientFactory.builder().workerGroup(1).build()) {
            factory.eventLoopGroup().next().execute(() -> awaitQuietly(blocked));
            WebClient client =
                    WebClient.builder("h1c://127.0.0.1:" + server.getLocalPort())
                            .factory(factory)
                            .build();
            EventLoop loop = CommonPools.workerGroup().next();
            Events events = new Events();
            BackendExchange exchange =
                    BackendExchange.send(
                            client,
                            RequestHeaders.of(HttpMethod.GET, "/"),
                            HttpData.empty(),
                            new Heads(),
                            loop,
                            events);
            try {
                assertEquals(exchange.cancel(), SendOutcome.NOT_SENT);
            } finally {
                blocked.countDown();
            }
            assertEquals(received(server), -1, "a byte of a request that counts as not sent");
            assertEquals(events.mEvents, List.of());
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the first byte of a connection that arrives shortly; -1 if there is none. */
    private static int received(ServerSocket server) throws IOException {
        server.setSoTimeout(500);
        try (Socket connection = server.accept()) {
            connection.setSoTimeout(500);
            return connection.getInputStream().read();
        } catch (SocketTimeoutException nothing) {
            return -1;
        }
    }
}
