package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.relay.handover.HandoverEvent;
import org.cyclamenpaddle.relay.handover.HandoverHeaders;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.routing.handover.HandoverRefusal;

/**
 * Receives requests that other hosts hand over, and runs those that this host can serve beside its
 * own callers'. All others are refused before anything is sent to a server.
 */
public final class HandoverService implements HttpService {

    private static final String NONE = "none";

    private final RelayContext mRelay;
    private final RelayService mService;

    /**
     * Creates the service.
     *
     * @param service runs the requests that are taken
     */
    public HandoverService(RelayContext relay, RelayService service) {
        mRelay = relay;
        mService = service;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        Either<String, HandoverTerms> terms = HandoverHeaders.read(request.headers());
        if (terms.isLeft() || !isListed(context, terms.get().from())) {
            // A host that has just started knows no others yet, and is asked again soon.
            return refuse(
                    request,
                    NONE,
                    mRelay.helpers().hasHelpers()
                            ? HandoverRefusal.UNKNOWN_HOST
                            : HandoverRefusal.BUSY);
        }
        RequestHeaders headers = HandoverHeaders.strip(HopByHopHeaders.strip(request.headers()));
        Either<HandoverRefusal, RequestAdmission.Admitted> admitted =
                mService.admission().admitHandedOver(headers, terms.get());
        if (admitted.isLeft()) {
            return refuse(request, terms.get().from().value(), admitted.getLeft());
        }
        return take(context, request, admitted.get(), terms.get());
    }

    private HttpResponse take(
            ServiceRequestContext context,
            HttpRequest request,
            RequestAdmission.Admitted admitted,
            HandoverTerms terms) {
        String from = terms.from().value();
        if (!mService.isOpen()) {
            return refuse(request, from, HandoverRefusal.BUSY);
        }
        if (mRelay.reachability().isCutOff(terms.service())) {
            return refuse(
                    request,
                    from,
                    HandoverRefusal.CUT_OFF,
                    mRelay.helpers().preferred(terms.service()));
        }
        if (!mRelay.helpers().tryTake()) {
            return refuse(request, from, HandoverRefusal.BUSY);
        }
        mRelay.metrics().recordHandover(HandoverEvent.TAKEN);
        mRelay.log().log(
                RelayEvent.REQUEST_TAKEN_OVER,
                admitted.caller().id(),
                admitted.route().name(),
                terms.service(),
                from,
                terms.timeoutMillis());
        HttpResponse response = mService.run(context, request, admitted);
        response.whenComplete().whenComplete((done, failure) -> mRelay.helpers().ended());
        return response;
    }

    private boolean isListed(ServiceRequestContext context, HostId host) {
        InetSocketAddress address = context.remoteAddress();
        return mRelay.helpers().isListed(host, address.getAddress().getHostAddress());
    }

    private HttpResponse refuse(HttpRequest request, String from, HandoverRefusal refusal) {
        return refuse(request, from, refusal, Optional.empty());
    }

    private HttpResponse refuse(
            HttpRequest request, String from, HandoverRefusal refusal, Optional<HostId> reaches) {
        mRelay.metrics().recordHandover(HandoverEvent.TURNED_AWAY);
        mRelay.log().log(
                RelayEvent.TAKEOVER_REFUSED,
                mService.requestId(request.headers()).orElse(NONE),
                from,
                refusal);
        return HttpResponse.of(HandoverHeaders.refusal(refusal, reaches));
    }
}
