package org.cyclamenpaddle.relay.front;

import static org.testng.Assert.assertEquals;

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
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.testng.annotations.Test;

/** Tests the order of events of one exchange. */
public class BackendExchangeTest {

    /** Decodes heads, which is all that an exchange needs. */
    private static final class Heads implements BackendMessages {

        @Override
        public RequestHeaders request(CallerRequest request, BackendCall call) {
            throw new UnsupportedOperationException();
        }

        @Override
        public BackendResponse response(ResponseHeaders headers) {
            return new BackendResponse(headers, Optional.of("r1"), true, false);
        }
    }

    /** Notes what it is told, in order. */
    private static final class Events implements ExchangeListener {

        private final List<String> mEvents = new ArrayList<>();
        private final CompletableFuture<Void> mEnd = new CompletableFuture<>();
        private BackendExchange mExchange;

        @Override
        public void head(BackendResponse head) {
            mEvents.add("head");
            mExchange.more();
        }

        @Override
        public void data(HttpData data) {
            mEvents.add("data");
            mExchange.more();
        }

        @Override
        public void complete() {
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
     * The caller of a lookup is told 502 although its server answered well and at once. The answer
     * was there before the relay had stored the exchange, and what came of it, an exception of its
     * own, was taken for a broken connection. The server was left out for half a second besides.
     */
    @Test
    public void answerThatIsThereAtOnceIsToldToWhoHoldsTheExchange() throws Exception {
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
                            events.mExchange.listen();
                        })
                .get();
        events.mEnd.get();
        assertEquals(events.mEvents, List.of("head", "data", "complete"));
    }
}
