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
import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.CallerMessages;
import org.cyclamenpaddle.relay.wire.CallerRequest;

/** Receives callers' requests, finds their routes and starts their exchanges. */
public final class RelayService implements HttpService {

    private static final String NONE = "none";

    private final RelayContext mRelay;
    private final CallerMessages mMessages;
    private final ConfigurationCell mConfiguration;
    private final RequestAdmission mAdmission;
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
        mAdmission = new RequestAdmission(messages, configuration, drainState);
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
        return mAdmission
                .admit(headers)
                .fold(
                        rejected -> refuse(headers, rejected),
                        admitted -> run(context, request, admitted));
    }

    private HttpResponse run(
            ServiceRequestContext context,
            HttpRequest request,
            RequestAdmission.Admitted admitted) {
        HttpResponseWriter writer = HttpResponse.streaming();
        mInFlight.incrementAndGet();
        request.aggregate(context.eventLoop())
                .handle(
                        (aggregated, failure) -> {
                            if (failure == null) {
                                start(context, aggregated, admitted, writer);
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
            RequestAdmission.Admitted admitted,
            HttpResponseWriter writer) {
        ServiceName service = admitted.route().serviceFor(mRelay.random().getAsDouble());
        RelayRequest relayed =
                new RelayRequest(
                        admitted.caller(),
                        aggregated.content(),
                        admitted.route(),
                        service,
                        admitted.team(),
                        admitted.configuration().engineProfile(service),
                        admitted.configuration().version());
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

    private HttpResponse refuse(RequestHeaders headers, RequestAdmission.Rejected rejected) {
        HttpStatus status = rejected.status();
        mRelay.log().log(
                RelayEvent.REQUEST_REFUSED,
                mMessages.request(headers).map(CallerRequest::id).getOrElse(NONE),
                RequestAdmission.authority(headers),
                headers.path(),
                rejected.team().map(TeamName::value).orElse(NONE),
                status.code(),
                rejected.reason(),
                mConfiguration.version());
        boolean retryLater = status.equals(HttpStatus.SERVICE_UNAVAILABLE);
        return HttpResponse.of(
                retryLater
                        ? mRetryAfter.retryLater(status.code())
                        : mRetryAfter.refusal(status.code()));
    }
}
