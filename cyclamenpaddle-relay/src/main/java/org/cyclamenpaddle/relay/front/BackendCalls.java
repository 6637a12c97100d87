package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.common.util.SafeCloseable;
import io.netty.channel.Channel;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.directive.Directives;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendMessages;

/**
 * Sends calls to backend servers and records what the servers ask for in their responses.
 *
 * <p>Thread-safe.
 */
public final class BackendCalls implements BackendCaller {

    /**
     * Maximum number of bytes of a response. A reservation, an order and a check have some hundred;
     * the longest is a report, with some 60 bytes for each of at most some hundred runs.
     */
    private static final long MAX_RESPONSE_BYTES = 256 << 10;

    private final BackendConnections mConnections;
    private final BackendRegistry mRegistry;
    private final BackendMessages mMessages;
    private final RelayEventLog mLog;
    private final RelayMetrics mMetrics;
    private final Clock mClock;
    private volatile LongConsumer mResponded = sentMillis -> {};

    public BackendCalls(
            BackendConnections connections,
            BackendRegistry registry,
            BackendMessages messages,
            RelayEventLog log,
            RelayMetrics metrics,
            Clock clock) {
        mConnections = connections;
        mRegistry = registry;
        mMessages = messages;
        mLog = log;
        mMetrics = metrics;
        mClock = clock;
    }

    /** Sets what is notified of the time at which a request was sent when its response arrives. */
    public void onResponse(LongConsumer listener) {
        mResponded = listener;
    }

    @Override
    public CompletableFuture<AggregatedHttpResponse> call(
            Backend target, Options options, HttpRequest request) {
        long sentMillis = mClock.millis();
        ClientRequestContext context;
        CompletableFuture<AggregatedHttpResponse> call;
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            call = execute(target, options, request).aggregate();
            context = captor.get();
        }
        return call.thenApply(
                response -> {
                    ResponseHeaders head = response.headers();
                    // Calls bear no id, and their responses none.
                    if (!mMessages.response(head).answers(Optional.empty())) {
                        close(context);
                        throw new MismatchedResponseException(target.id().value());
                    }
                    record(
                            target,
                            options.cause(),
                            head,
                            mMessages.directives(head).withoutLiftingLimits(),
                            sentMillis);
                    return response;
                });
    }

    /** Closes the connection of a call, on which the responses to others may follow. */
    private static void close(ClientRequestContext context) {
        Channel channel = context.log().partial().channel();
        if (channel != null) {
            channel.close();
        }
    }

    private HttpResponse execute(Backend target, Options options, HttpRequest request) {
        WebClient client =
                mConnections.client(target.address(), target.port(), options.keepAlive());
        try (SafeCloseable guarded = guard(target, options.purpose())) {
            return client.execute(
                    request,
                    RequestOptions.builder()
                            .responseTimeoutMillis(options.timeoutMillis())
                            .maxResponseLength(MAX_RESPONSE_BYTES)
                            .build());
        }
    }

    /**
     * Guards the calls that this thread starts until the result is closed: a call that waits for a
     * connection is cancelled if its server asks for no calls in the meantime.
     *
     * <p>The check is attached before the call is started. Attached later, it could run after the
     * call has been written, and a call that may have run would be reported as not sent.
     *
     * @param target server that the calls are addressed to
     * @param purpose why they are made
     */
    SafeCloseable guard(Backend target, Purpose purpose) {
        return Clients.withContextCustomizer(
                call ->
                        call.log()
                                .whenAvailable(RequestLogProperty.SESSION)
                                .thenRun(
                                        () -> {
                                            if (!accepts(target, purpose)) {
                                                call.cancel(
                                                        new CallWithheldException(
                                                                target.id().value()));
                                            }
                                        }));
    }

    private boolean accepts(Backend target, Purpose purpose) {
        long now = mClock.millis();
        return purpose == Purpose.WORK
                ? mRegistry.directives().acceptsWork(target, now)
                : mRegistry.directives().acceptsRelease(target, now);
    }

    /**
     * Records what a server asks for in the head of a response to a request.
     *
     * @param target server that the request was addressed to
     * @param cause id of the caller's request, or what else the call was made for
     * @param head head of the response
     * @param sentMillis time at which the request was sent
     */
    void recordHead(Backend target, String cause, ResponseHeaders head, long sentMillis) {
        Directives asked = mMessages.directives(head);
        record(
                target,
                cause,
                head,
                head.status().isSuccess() ? asked : asked.withoutLiftingLimits(),
                sentMillis);
    }

    private void record(
            Backend target, String cause, ResponseHeaders head, Directives asked, long sentMillis) {
        mResponded.accept(sentMillis);
        if (head.status().equals(HttpStatus.MISDIRECTED_REQUEST)) {
            // Another process responded from this address.
            return;
        }
        mRegistry
                .directives()
                .record(target, asked, sentMillis, mClock.millis())
                .forEach(
                        change -> {
                            mMetrics.recordDirective(change.kind());
                            mLog.log(
                                    RelayEvent.DIRECTIVE_CHANGED,
                                    target.id(),
                                    target.startedMillis(),
                                    change.kind(),
                                    change.value(),
                                    cause);
                        });
    }
}
