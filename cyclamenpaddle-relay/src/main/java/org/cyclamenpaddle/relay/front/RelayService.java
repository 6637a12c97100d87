package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.quota.TeamQuotas;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.route.Route;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.team.TeamQuota;
import org.cyclamenpaddle.relay.wire.CallerMessages;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.cyclamenpaddle.routing.buffer.RequestBytes;
import org.cyclamenpaddle.routing.limit.QuotaDecision;

/** Receives callers' requests, finds their routes and starts their exchanges. */
public final class RelayService implements HttpService {

    private static final String NONE = "none";

    /**
     * Share of a route's target latency after which a body that did not fit may be sent again:
     * about the time until a request in flight ends and releases its bytes.
     */
    private static final double BODY_RETRY_TARGET_SHARE = 0.5;

    private final RelayContext mRelay;
    private final CallerMessages mMessages;
    private final ConfigurationCell mConfiguration;
    private final RequestAdmission mAdmission;
    private final StartupGate mStartupGate;
    private final TeamQuotas mQuotas;
    private final RetryAfter mRetryAfter;
    private final StopCheck mStopCheck;
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
        mStopCheck = new StopCheck(drainState, mRetryAfter);
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

    /** Returns whether the data to route requests is known. */
    boolean isOpen() {
        return mStartupGate.isOpen();
    }

    /** Returns the decision about requests by the configuration in force. */
    RequestAdmission admission() {
        return mAdmission;
    }

    /** Returns the id of a request; empty if it has none. */
    Optional<String> requestId(RequestHeaders headers) {
        return mMessages.request(headers).map(CallerRequest::id).toJavaOptional();
    }

    private HttpResponse dispatch(ServiceRequestContext context, HttpRequest request) {
        mRelay.helpers().recordOwn();
        RequestHeaders headers = HopByHopHeaders.strip(request.headers());
        return mAdmission
                .admit(headers)
                .fold(
                        rejected -> refuse(headers, rejected),
                        admitted -> run(context, request, admitted));
    }

    /** Runs a request that was admitted, and returns the response to it. */
    HttpResponse run(
            ServiceRequestContext context,
            HttpRequest request,
            RequestAdmission.Admitted admitted) {
        RequestBytes bytes = mRelay.bytes().newRequest();
        long statedBytes = statedLength(context, request);
        if (!bytes.tryAdmit(statedBytes)) {
            return HttpResponse.of(refuseBody(request, admitted));
        }
        HttpResponseWriter writer = HttpResponse.streaming();
        CallerConnection watch = new CallerConnection(context.log().partial().channel());
        mInFlight.incrementAndGet();
        writer.whenComplete()
                .whenComplete(
                        (done, failure) -> {
                            watch.close();
                            bytes.close();
                            mInFlight.decrementAndGet();
                        });
        watch.onDisconnect(writer::abort);
        RequestBody body = new RequestBody(bytes, statedBytes);
        body.result()
                .whenComplete(
                        (whole, failure) -> {
                            if (failure == null) {
                                start(context, whole, admitted, bytes, writer);
                            } else if (failure instanceof BodyRefusedException) {
                                writer.tryWrite(refuseBody(request, admitted));
                                writer.close();
                            } else {
                                // The caller disconnected, or its body was too large, before the
                                // request was complete.
                                writer.close(failure);
                            }
                        })
                .exceptionally(
                        fault -> {
                            writer.close(fault);
                            return null;
                        });
        request.subscribe(body, context.eventLoop());
        return writer;
    }

    /**
     * Returns the length that the head of a request states; 0 if it states none, or one that the
     * server refuses by itself.
     */
    private static long statedLength(ServiceRequestContext context, HttpRequest request) {
        long length = Math.max(0, request.headers().contentLength());
        return length > context.maxRequestLength() ? 0 : length;
    }

    /** Refuses a request whose body does not fit; nothing of it was sent to a server. */
    private ResponseHeaders refuseBody(HttpRequest request, RequestAdmission.Admitted admitted) {
        CallerReply reply = CallerReply.NOT_RUN;
        Route route = admitted.route();
        mRelay.metrics().recordRefusal(reply);
        BytesRefusal.ofProcess(mRelay, admitted.caller(), route, request.headers().contentLength());
        logRefusal(
                request.headers(),
                admitted.caller().id(),
                admitted.team().map(Team::name),
                reply.status(),
                "no memory for the body");
        long retryMillis = (long) (route.targetMillis() * BODY_RETRY_TARGET_SHARE);
        return mRetryAfter.refusal(reply.status(), OptionalLong.of(retryMillis));
    }

    /** Starts a request that has arrived completely, if the quota of its team admits it. */
    private void start(
            ServiceRequestContext context,
            HttpData body,
            RequestAdmission.Admitted admitted,
            RequestBytes bytes,
            HttpResponseWriter writer) {
        Optional<TeamQuota> quota = admitted.team().flatMap(Team::quota);
        // The host that the caller has sent the request to has taken its cost.
        if (quota.isEmpty() || admitted.handover().isPresent()) {
            forward(context, body, admitted, bytes, writer, mayHaveRun -> {});
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
                            () -> decided(context, body, admitted, bytes, writer, cost, decision);
                    if (loop.inEventLoop()) {
                        next.run();
                    } else {
                        loop.execute(next);
                    }
                });
    }

    private void decided(
            ServiceRequestContext context,
            HttpData body,
            RequestAdmission.Admitted admitted,
            RequestBytes bytes,
            HttpResponseWriter writer,
            long cost,
            QuotaDecision decision) {
        Team team = admitted.team().orElseThrow();
        if (decision instanceof QuotaDecision.Denied denied) {
            mRelay.metrics().recordQuota(team.name(), false, cost);
            refuseOverQuota(context.request().headers(), admitted, writer, denied);
        } else if (writer.isOpen() && context.log().partial().channel().isActive()) {
            mRelay.metrics().recordQuota(team.name(), true, cost);
            forward(
                    context,
                    body,
                    admitted,
                    bytes,
                    writer,
                    mayHaveRun -> {
                        if (!mayHaveRun) {
                            mQuotas.giveBack(team, cost);
                        }
                    });
        } else {
            mQuotas.giveBack(team, cost);
            writer.close();
        }
    }

    private void forward(
            ServiceRequestContext context,
            HttpData body,
            RequestAdmission.Admitted admitted,
            RequestBytes bytes,
            HttpResponseWriter writer,
            RequestEndListener endListener) {
        ServiceName service =
                admitted.handover()
                        .map(HandoverTerms::service)
                        .orElseGet(
                                () -> admitted.route().serviceFor(mRelay.random().getAsDouble()));
        RelayRequest relayed = RelayRequest.of(admitted, body, service);
        RequestExchange exchange =
                new RequestExchange(
                        mRelay,
                        relayed,
                        context.eventLoop().withoutContext(),
                        bytes,
                        writer,
                        mRetryAfter,
                        mStopCheck,
                        endListener);
        writer.whenComplete()
                .whenCompleteAsync(
                        (done, failure) -> {
                            if (failure != null) {
                                exchange.callerDisconnected();
                            }
                        },
                        context.eventLoop());
        exchange.start();
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
                requestId(headers).orElse(NONE),
                rejected.team(),
                status.code(),
                rejected.reason());
        boolean retryLater = status.equals(HttpStatus.SERVICE_UNAVAILABLE);
        HttpResponse response =
                HttpResponse.of(
                        retryLater
                                ? mRetryAfter.retryLater(status.code())
                                : mRetryAfter.refusal(status.code()));
        // The process must not end before the refusal is written.
        mInFlight.incrementAndGet();
        response.whenComplete().whenComplete((done, failure) -> mInFlight.decrementAndGet());
        return response;
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
