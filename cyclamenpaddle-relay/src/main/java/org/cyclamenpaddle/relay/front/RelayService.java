package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.route.Route;
import org.cyclamenpaddle.relay.wire.CallerMessages;
import org.cyclamenpaddle.relay.wire.CallerRequest;

/** Receives callers' requests, finds their routes and starts their exchanges. */
public final class RelayService implements HttpService {

    private final RelayContext mRelay;
    private final CallerMessages mMessages;
    private final ConfigurationCell mConfiguration;
    private final DrainState mDrainState;
    private final StartupGate mStartupGate;
    private final RetryAfter mRetryAfter;
    private final AtomicInteger mInFlight = new AtomicInteger();

    /**
     * Creates the service.
     *
     * @param relay dependencies shared by all exchanges
     * @param messages decoder of requests
     * @param configuration configuration in force
     * @param drainState state of a planned stop
     * @param startupGate delays requests until the data needed to route them is known
     */
    public RelayService(
            RelayContext relay,
            CallerMessages messages,
            ConfigurationCell configuration,
            DrainState drainState,
            StartupGate startupGate) {
        mDrainState = drainState;
        mStartupGate = startupGate;
        mRelay = relay;
        mMessages = messages;
        mConfiguration = configuration;
        mRetryAfter = new RetryAfter(relay.random(), drainState::isStopping);
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return mInFlight.get();
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        if (mStartupGate.isOpen()) {
            return dispatch(context, request);
        }
        return HttpResponse.of(
                mStartupGate
                        .whenOpen()
                        .thenApplyAsync(opened -> dispatch(context, request), context.eventLoop()));
    }

    private HttpResponse dispatch(ServiceRequestContext context, HttpRequest request) {
        RequestHeaders headers = HopByHopHeaders.strip(request.headers());
        Optional<RelayConfiguration> configuration = mConfiguration.inForce();
        if (configuration.isEmpty()) {
            return refuse(headers, HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet");
        }
        String authority = authority(headers);
        Optional<Route> route = configuration.get().find(authority, headers.path());
        if (route.isEmpty()) {
            // A host that has lost the store may lack the newest routes. It must not respond 404:
            // the caller would take that as final and not retry.
            return mConfiguration.confirmed()
                    ? refuse(headers, HttpStatus.NOT_FOUND, "no such route")
                    : refuse(headers, HttpStatus.SERVICE_UNAVAILABLE, "routes may be outdated");
        }
        Either<String, CallerRequest> caller = mMessages.request(headers);
        if (caller.isLeft()) {
            return refuse(headers, HttpStatus.BAD_REQUEST, caller.getLeft());
        }
        if (!mDrainState.accepts(route.get().kind().streams())) {
            return refuse(headers, HttpStatus.SERVICE_UNAVAILABLE, "host is stopping");
        }
        return run(context, request, configuration.get(), route.get(), caller.get());
    }

    private HttpResponse run(
            ServiceRequestContext context,
            HttpRequest request,
            RelayConfiguration configuration,
            Route route,
            CallerRequest caller) {
        HttpResponseWriter writer = HttpResponse.streaming();
        mInFlight.incrementAndGet();
        request.aggregate(context.eventLoop())
                .handle(
                        (aggregated, failure) -> {
                            if (failure == null) {
                                start(context, aggregated, configuration, route, caller, writer);
                            } else {
                                // The caller disconnected, or its body was too large, before the
                                // request was complete.
                                mInFlight.decrementAndGet();
                                writer.close(failure);
                            }
                            return null;
                        });
        return writer;
    }

    private void start(
            ServiceRequestContext context,
            AggregatedHttpRequest aggregated,
            RelayConfiguration configuration,
            Route route,
            CallerRequest caller,
            HttpResponseWriter writer) {
        ServiceName service = route.serviceFor(mRelay.random().getAsDouble());
        RelayRequest relayed =
                new RelayRequest(
                        caller,
                        aggregated.content(),
                        route,
                        service,
                        configuration.engineProfile(service),
                        configuration.version());
        Channel connection = context.log().partial().channel();
        CallerConnection watch = new CallerConnection(connection);
        RequestExchange exchange =
                new RequestExchange(
                        mRelay,
                        relayed,
                        context.eventLoop().withoutContext(),
                        writer,
                        mRetryAfter,
                        () -> {
                            watch.close();
                            mInFlight.decrementAndGet();
                        });
        writer.whenComplete()
                .whenCompleteAsync(
                        (done, failure) -> {
                            if (failure != null) {
                                exchange.callerDisconnected();
                            }
                        },
                        context.eventLoop());
        exchange.start();
        watch.onDisconnect(exchange::callerDisconnected);
    }

    private static String authority(RequestHeaders headers) {
        return headers.authority() == null ? "" : headers.authority();
    }

    private HttpResponse refuse(RequestHeaders headers, HttpStatus status, String reason) {
        mRelay.log().log(
                RelayEvent.REQUEST_REFUSED,
                mMessages.request(headers).map(CallerRequest::id).getOrElse("none"),
                authority(headers),
                headers.path(),
                status.code(),
                reason,
                mConfiguration.version());
        boolean retryLater = status.equals(HttpStatus.SERVICE_UNAVAILABLE);
        return HttpResponse.of(
                retryLater
                        ? mRetryAfter.retryLater(status.code())
                        : mRetryAfter.refusal(status.code()));
    }
}
