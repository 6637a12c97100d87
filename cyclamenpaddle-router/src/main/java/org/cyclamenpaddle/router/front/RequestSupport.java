package org.cyclamenpaddle.router.front;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.config.PresetSpec;
import org.cyclamenpaddle.core.config.ServiceKind;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.problem.Problem;

/**
 * Operations that all caller-facing services share: assigning request ids, reading bodies, looking
 * up services in force and writing refusals.
 */
public final class RequestSupport {

    private final Incarnation mSelf;
    private final Blackboard mBlackboard;
    private final RouterMetrics mMetrics;
    private final BooleanSupplier mAcceptsWork;
    private final AtomicLong mRequests = new AtomicLong();

    /**
     * Creates the support object.
     *
     * @param self this host's incarnation, part of every request id
     * @param blackboard tables of this host
     * @param metrics counts refusals
     * @param acceptsWork whether this host still accepts new work
     */
    public RequestSupport(
            Incarnation self,
            Blackboard blackboard,
            RouterMetrics metrics,
            BooleanSupplier acceptsWork) {
        mSelf = self;
        mBlackboard = blackboard;
        mMetrics = metrics;
        mAcceptsWork = acceptsWork;
    }

    /** Returns a new, unique request id. */
    RequestId newRequest() {
        return new RequestId(mSelf + ":r" + mRequests.incrementAndGet());
    }

    /** Reads the whole body, or returns the reason why it cannot be read. */
    CompletableFuture<Either<Refusal, AggregatedHttpRequest>> aggregate(HttpRequest request) {
        return request.aggregate().handle(this::body);
    }

    private Either<Refusal, AggregatedHttpRequest> body(
            AggregatedHttpRequest aggregated, Throwable failure) {
        if (failure == null) {
            return mAcceptsWork.getAsBoolean()
                    ? Either.right(aggregated)
                    : Either.left(Refusal.of(RefusalReason.STOPPING, ""));
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ContentTooLargeException tooLarge) {
            return Either.left(
                    Refusal.of(
                            RefusalReason.BODY_TOO_LONG,
                            "The limit is " + tooLarge.maxContentLength() + " bytes."));
        }
        return Either.left(Refusal.of(RefusalReason.BAD_BODY, "The body was truncated: " + cause));
    }

    /** Parses an identifier, or returns a refusal that describes the error. */
    <T> Either<Refusal, T> parseName(String text, Function<String, T> type, String where) {
        try {
            return Either.right(type.apply(text));
        } catch (IllegalArgumentException malformed) {
            return Either.left(
                    Refusal.of(RefusalReason.BAD_BODY, where + ": " + malformed.getMessage()));
        }
    }

    /** Returns a service that the preset in force assigns to a backend server. */
    Either<Refusal, ServiceSpec> service(ServiceName name, ServiceKind kind) {
        ConfigurationView view = mBlackboard.view();
        if (view.presetInForce().isEmpty()) {
            return Either.left(Refusal.of(RefusalReason.NO_CONFIGURATION, ""));
        }
        PresetSpec preset = view.presetInForce().get();
        boolean served = preset.assignments().stream().anyMatch(a -> a.service().equals(name));
        ServiceSpec service = view.services().get(name);
        if (!served || service == null || service.kind() != kind) {
            return Either.left(
                    Refusal.of(
                            RefusalReason.UNKNOWN_SERVICE,
                            "Preset "
                                    + preset.name()
                                    + " serves no "
                                    + (kind == ServiceKind.MODEL ? "model" : "plain service")
                                    + " named "
                                    + name
                                    + "."));
        }
        return Either.right(service);
    }

    /** Counts a refusal and returns its HTTP response. */
    HttpResponse refuse(RequestId id, Refusal refusal) {
        mMetrics.recordRefusal(refusal.reason());
        return Problem.of(refusal).response(id.value());
    }
}
