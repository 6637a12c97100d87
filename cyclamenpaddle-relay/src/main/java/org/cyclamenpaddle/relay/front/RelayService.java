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

/** Takes callers' requests, finds their routes and starts their runs. */
public final class RelayService implements HttpService {

    private final RelayContext mRelay;
    private final CallerMessages mMessages;
    private final ConfigurationCell mConfiguration;
    private final DrainState mStopping;
    private final StartupGate mStartupGate;
    private final RetryAfter mRetryAfter;
    private final AtomicInteger mInFlight = new AtomicInteger();

    /**
     * Creates the service.
     *
     * @param relay what all runs share
     * @param messages decodes requests
     * @param configuration routes
     * @param stopping whether the host is in a planned stop
     * @param startWait until what is needed to decide requests is known
     */
    public RelayService(
            RelayContext relay,
            CallerMessages messages,
            ConfigurationCell configuration,
            DrainState stopping,
            StartupGate startWait) {
        mStopping = stopping;
        mStartupGate = startWait;
        mRelay = relay;
        mMessages = messages;
        mConfiguration = configuration;
        mRetryAfter = new RetryAfter(relay.random(), stopping::isStopping);
    }

    /** Returns the requests that have not ended yet. */
    public int inFlight() {
        return mInFlight.get();
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        if (mStartupGate.isOpen()) {
            return take(context, request);
        }
        return HttpResponse.of(
                mStartupGate
                        .whenOpen()
                        .thenApplyAsync(over -> take(context, request), context.eventLoop()));
    }

    private HttpResponse take(ServiceRequestContext context, HttpRequest request) {
        RequestHeaders headers = ConnectionHeaders.without(request.headers());
        Optional<RelayConfiguration> configuration = mConfiguration.inForce();
        if (configuration.isEmpty()) {
            return refuse(headers, HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet");
        }
        String authority = authority(headers);
        Optional<Route> route = configuration.get().find(authority, headers.path());
        if (route.isEmpty()) {
            // A host that the store does not answer may lack the newest routes: it must not say
            // that there is no such path, for the caller would believe it and not come again.
            return mConfiguration.confirmed()
                    ? refuse(headers, HttpStatus.NOT_FOUND, "no such route")
                    : refuse(headers, HttpStatus.SERVICE_UNAVAILABLE, "routes may be outdated");
        }
        Either<String, CallerRequest> caller = mMessages.request(headers);
        if (caller.isLeft()) {
            return refuse(headers, HttpStatus.BAD_REQUEST, caller.getLeft());
        }
        if (!mStopping.accepts(route.get().kind().streams())) {
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
                        (whole, failure) -> {
                            if (failure == null) {
                                start(context, whole, configuration, route, caller, writer);
                            } else {
                                // The caller left, or sent too much, before its request was whole.
                                mInFlight.decrementAndGet();
                                writer.close(failure);
                            }
                            return null;
                        });
        return writer;
    }

    private void start(
            ServiceRequestContext context,
            AggregatedHttpRequest whole,
            RelayConfiguration configuration,
            Route route,
            CallerRequest caller,
            HttpResponseWriter writer) {
        ServiceName service = route.serviceFor(mRelay.random().getAsDouble());
        RelayRequest relayed =
                new RelayRequest(
                        caller,
                        whole.content(),
                        route,
                        service,
                        configuration.engineProfile(service),
                        configuration.version());
        Channel connection = context.log().partial().channel();
        CallerConnection watch = new CallerConnection(connection);
        RequestExchange run =
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
                                run.callerGone();
                            }
                        },
                        context.eventLoop());
        run.start();
        watch.whenGone(run::callerGone);
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
        boolean comeBack = status.equals(HttpStatus.SERVICE_UNAVAILABLE);
        return HttpResponse.of(
                comeBack ? mRetryAfter.notYet(status.code()) : mRetryAfter.refusal(status.code()));
    }
}
