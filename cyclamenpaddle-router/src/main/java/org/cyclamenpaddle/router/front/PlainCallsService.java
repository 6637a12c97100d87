package org.cyclamenpaddle.router.front;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.config.PlainCall;
import org.cyclamenpaddle.core.config.ServiceKind;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.fleet.claim.BookingReply;
import org.cyclamenpaddle.fleet.claim.ClaimKey;
import org.cyclamenpaddle.router.booking.Bookings;
import org.cyclamenpaddle.router.booking.RepeatableCalls;
import org.cyclamenpaddle.router.problem.Problem;

/** HTTP service for calls of plain services, {@code ANY /v1/services/{service}/{path}}. */
public final class PlainCallsService implements HttpService {

    /** Path prefix that this service is bound to. */
    public static final String PREFIX = "/v1/services/";

    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final String REPLAYED = "x-replayed";

    private final RequestSupport mSupport;
    private final Bookings mBookings;
    private final RepeatableCalls mRepeatable;

    /**
     * Creates the service.
     *
     * @param support checks that all caller-facing services share
     * @param bookings runs non-idempotent calls
     * @param repeatable runs idempotent calls
     */
    public PlainCallsService(
            RequestSupport support, Bookings bookings, RepeatableCalls repeatable) {
        mSupport = support;
        mBookings = bookings;
        mRepeatable = repeatable;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        RequestId id = mSupport.newRequest();
        return HttpResponse.of(
                mSupport.aggregate(request)
                        .thenCompose(
                                body ->
                                        body.flatMap(this::target)
                                                .fold(
                                                        refusal -> refused(id, refusal),
                                                        target -> run(id, target))));
    }

    /** The service and the call that a request addresses. */
    private record Target(
            ServiceSpec service,
            PlainCall call,
            String pathAndQuery,
            AggregatedHttpRequest request) {

        Optional<String> contentType() {
            return Optional.ofNullable(request.headers().get(HttpHeaderNames.CONTENT_TYPE));
        }

        Optional<String> key() {
            return Optional.ofNullable(request.headers().get(IDEMPOTENCY_KEY));
        }
    }

    private Either<Refusal, Target> target(AggregatedHttpRequest request) {
        String below = request.path().substring(PREFIX.length());
        int slash = below.indexOf('/');
        if (slash <= 0) {
            return Either.left(
                    Refusal.of(
                            RefusalReason.UNKNOWN_CALL,
                            "The path must be " + PREFIX + "{service}/{path}."));
        }
        String pathAndQuery = below.substring(slash);
        return mSupport.parseName(below.substring(0, slash), ServiceName::new, "Path")
                .flatMap(name -> mSupport.service(name, ServiceKind.PLAIN))
                .flatMap(service -> call(service, pathAndQuery, request));
    }

    private static Either<Refusal, Target> call(
            ServiceSpec service, String pathAndQuery, AggregatedHttpRequest request) {
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        return service.call(request.method().name(), path)
                .map(call -> new Target(service, call, pathAndQuery, request))
                .<Either<Refusal, Target>>map(Either::right)
                .orElseGet(
                        () ->
                                Either.left(
                                        Refusal.of(
                                                RefusalReason.UNKNOWN_CALL,
                                                "Service "
                                                        + service.name()
                                                        + " declares no "
                                                        + request.method()
                                                        + " "
                                                        + path
                                                        + ".")));
    }

    private CompletableFuture<HttpResponse> run(RequestId id, Target target) {
        return target.call().repeatable() ? repeatable(id, target) : keyed(id, target);
    }

    private CompletableFuture<HttpResponse> repeatable(RequestId id, Target target) {
        RepeatableCalls.RepeatableCall call =
                new RepeatableCalls.RepeatableCall(
                        target.service(),
                        target.call(),
                        target.pathAndQuery(),
                        target.contentType(),
                        target.request().content().array());
        return mRepeatable
                .start(call)
                .thenApply(
                        result ->
                                result.fold(
                                        refusal -> mSupport.refuse(id, refusal),
                                        response ->
                                                buildResponse(
                                                        id,
                                                        response.status(),
                                                        response.contentType(),
                                                        response.body(),
                                                        false)));
    }

    private CompletableFuture<HttpResponse> keyed(RequestId id, Target target) {
        Optional<String> key = target.key().filter(ClaimKey::valid);
        if (key.isEmpty()) {
            return refused(
                    id,
                    Refusal.of(
                            RefusalReason.BAD_IDEMPOTENCY_KEY,
                            "This call must not be repeated: header Idempotency-Key must have 1 to"
                                    + " 128 printable characters."));
        }
        Bookings.KeyedCall call =
                new Bookings.KeyedCall(
                        id,
                        target.service(),
                        target.call(),
                        key.get(),
                        target.pathAndQuery(),
                        target.contentType(),
                        target.request().content().array());
        return mBookings.start(call).thenApply(reply -> response(id, reply));
    }

    private static HttpResponse response(RequestId id, BookingReply reply) {
        if (reply instanceof BookingReply.Completed completed) {
            return buildResponse(
                    id,
                    completed.response().status(),
                    completed.response().contentType(),
                    Bookings.bytes(completed.response().body()),
                    completed.replayed());
        }
        BookingReply.Refused refused = (BookingReply.Refused) reply;
        return Problem.of(refused.refusal()).withOutcome(reply.outcome()).response(id.value());
    }

    private static HttpResponse buildResponse(
            RequestId id, int status, String contentType, byte[] body, boolean replayed) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(HttpStatus.valueOf(status))
                        .add(Problem.REQUEST_ID_HEADER, id.value());
        if (!contentType.isEmpty()) {
            headers.add(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        if (replayed) {
            headers.add(REPLAYED, "true");
        }
        return HttpResponse.of(headers.build(), HttpData.wrap(body));
    }

    private CompletableFuture<HttpResponse> refused(RequestId id, Refusal refusal) {
        return CompletableFuture.completedFuture(mSupport.refuse(id, refusal));
    }
}
