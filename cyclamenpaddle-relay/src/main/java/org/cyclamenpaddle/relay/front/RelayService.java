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
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.quota.TeamQuotas;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.team.TeamQuota;
import org.cyclamenpaddle.relay.wire.CallerMessages;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.cyclamenpaddle.routing.limit.QuotaDecision;

/** Receives callers' requests, finds their routes and starts their exchanges. */
public final class RelayService implements HttpService {

    private static final String NONE = "none";

    private final RelayContext mRelay;
    private final CallerMessages mMessages;
    private final ConfigurationCell mConfiguration;
    private final RequestAdmission mAdmission;
    private final StartupGate mStartupGate;
    private final TeamQuotas mQuotas;
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
     * @param quotas quotas of the teams
     */
    public RelayService(
            RelayContext relay,
            CallerMessages messages,
            ConfigurationCell configuration,
            DrainState drainState,
            StartupGate startupGate,
            TeamQuotas quotas) {
        mAdmission = new RequestAdmission(messages, configuration, drainState);
        mStartupGate = startupGate;
        mQuotas = quotas;
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

    /** Starts a request that has arrived completely, if the quota of its team admits it. */
    private void start(
            ServiceRequestContext context,
            AggregatedHttpRequest aggregated,
            RequestAdmission.Admitted admitted,
            HttpResponseWriter writer) {
        Optional<TeamQuota> quota = admitted.team().flatMap(Team::quota);
        if (quota.isEmpty()) {
            forward(context, aggregated, admitted, writer, mayHaveRun -> {});
            return;
        }
        Team team = admitted.team().orElseThrow();
        long cost = quota.get().cost(admitted.caller().declaredTokens());
        EventLoop loop = context.eventLoop().withoutContext();
        mQuotas.take(
                team,
                cost,
                decision -> {
                    Runnable next =
                            () -> decided(context, aggregated, admitted, writer, cost, decision);
                    if (loop.inEventLoop()) {
                        next.run();
                    } else {
                        loop.execute(next);
                    }
                });
    }

    private void decided(
            ServiceRequestContext context,
            AggregatedHttpRequest aggregated,
            RequestAdmission.Admitted admitted,
            HttpResponseWriter writer,
            long cost,
            QuotaDecision decision) {
        Team team = admitted.team().orElseThrow();
        if (decision instanceof QuotaDecision.Denied denied) {
            mInFlight.decrementAndGet();
            mRelay.metrics().recordQuota(team.name(), false, cost);
            refuseOverQuota(context.request().headers(), admitted, writer, denied);
        } else if (writer.isOpen() && context.log().partial().channel().isActive()) {
            mRelay.metrics().recordQuota(team.name(), true, cost);
            forward(
                    context,
                    aggregated,
                    admitted,
                    writer,
                    mayHaveRun -> {
                        if (!mayHaveRun) {
                            mQuotas.giveBack(team, cost);
                        }
                    });
        } else {
            mInFlight.decrementAndGet();
            mQuotas.giveBack(team, cost);
            writer.close();
        }
    }

    private void forward(
            ServiceRequestContext context,
            AggregatedHttpRequest aggregated,
            RequestAdmission.Admitted admitted,
            HttpResponseWriter writer,
            RequestExchange.EndListener endListener) {
        ServiceName service = admitted.route().serviceFor(mRelay.random().getAsDouble());
        RelayRequest relayed = RelayRequest.of(admitted, aggregated.content(), service);
        Channel connection = context.log().partial().channel();
        CallerConnection watch = new CallerConnection(connection);
        RequestExchange exchange =
                new RequestExchange(
                        mRelay,
                        relayed,
                        context.eventLoop().withoutContext(),
                        writer,
                        mRetryAfter,
                        mayHaveRun -> {
                            watch.close();
                            mInFlight.decrementAndGet();
                            endListener.ended(mayHaveRun);
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

    private void refuseOverQuota(
            RequestHeaders headers,
            RequestAdmission.Admitted admitted,
            HttpResponseWriter writer,
            QuotaDecision.Denied denied) {
        CallerReply reply = CallerReply.OVER_QUOTA;
        mRelay.metrics().recordRefusal(reply);
        logRefusal(
                headers,
                admitted.caller().id(),
                admitted.team().map(Team::name),
                reply.status(),
                "quota of the team is used up");
        writer.tryWrite(mRetryAfter.refusal(reply.status(), OptionalLong.of(denied.retryMillis())));
        writer.close();
    }

    private HttpResponse refuse(RequestHeaders headers, RequestAdmission.Rejected rejected) {
        HttpStatus status = rejected.status();
        logRefusal(
                headers,
                mMessages.request(headers).map(CallerRequest::id).getOrElse(NONE),
                rejected.team(),
                status.code(),
                rejected.reason());
        boolean retryLater = status.equals(HttpStatus.SERVICE_UNAVAILABLE);
        return HttpResponse.of(
                retryLater
                        ? mRetryAfter.retryLater(status.code())
                        : mRetryAfter.refusal(status.code()));
    }

    private void logRefusal(
            RequestHeaders headers,
            String request,
            Optional<TeamName> team,
            int status,
            String reason) {
        mRelay.log().log(
                RelayEvent.REQUEST_REFUSED,
                request,
                RequestAdmission.authority(headers),
                headers.path(),
                team.map(TeamName::value).orElse(NONE),
                status,
                reason,
                mConfiguration.version());
    }
}
