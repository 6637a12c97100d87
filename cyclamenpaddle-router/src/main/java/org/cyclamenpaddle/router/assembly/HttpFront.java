package org.cyclamenpaddle.router.assembly;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.server.Route;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.fleet.drain.StopStage;
import org.cyclamenpaddle.router.front.CompletionsService;
import org.cyclamenpaddle.router.front.PlainCallsService;
import org.cyclamenpaddle.router.front.ProblemErrorHandler;
import org.cyclamenpaddle.router.front.RequestSupport;
import org.cyclamenpaddle.router.front.StatusServices;
import org.cyclamenpaddle.router.operator.OperatorApi;
import org.cyclamenpaddle.router.settings.RouterSettings;

/** HTTP server for callers and operators. */
final class HttpFront implements AutoCloseable {

    private static final Duration NO_QUIET_PERIOD = Duration.ZERO;
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(1);

    private final RouterSettings mSettings;
    private final Controllers mControllers;
    private final Supplier<StopStage> mStage;
    private final BooleanSupplier mSettled;
    private final Server mServer;

    HttpFront(
            RouterSettings settings,
            Controllers controllers,
            Supplier<StopStage> stage,
            BooleanSupplier settled) {
        mSettings = settings;
        mControllers = controllers;
        mStage = stage;
        mSettled = settled;
        mServer = build();
    }

    Try<Void> start() {
        return Try.run(() -> mServer.start().join());
    }

    int port() {
        return mServer.activeLocalPort();
    }

    @Override
    public void close() {
        mServer.stop().join();
    }

    private Server build() {
        RequestSupport support =
                new RequestSupport(
                        mControllers.self(),
                        mControllers.blackboard(),
                        mControllers.metrics(),
                        () -> mStage.get().takesWork());
        CompletionsService completions =
                new CompletionsService(
                        support, mControllers.requests(), mSettings.limits().promptTokens());
        PlainCallsService plain =
                new PlainCallsService(support, mControllers.bookings(), mControllers.repeatable());
        ServerBuilder builder =
                Server.builder()
                        .http(
                                new InetSocketAddress(
                                        mSettings.host().address(), mSettings.host().httpPort()))
                        // Requests enforce their own deadlines; a timeout of the library would
                        // truncate responses.
                        .requestTimeout(Duration.ZERO)
                        .maxRequestLength(mSettings.limits().bodyBytes())
                        .gracefulShutdownTimeout(NO_QUIET_PERIOD, SHUTDOWN_TIMEOUT)
                        .errorHandler(
                                new ProblemErrorHandler(mControllers.metrics()::recordRefusal))
                        .service(
                                Route.builder()
                                        .path("/v1/completions")
                                        .methods(HttpMethod.POST)
                                        .build(),
                                completions)
                        .service("prefix:" + PlainCallsService.PREFIX, plain)
                        .service("/healthz", StatusServices.health())
                        .service("/readyz", StatusServices.readiness(this::notReady))
                        .service("/metrics", StatusServices.metrics(mControllers.metrics()))
                        .annotatedService(OperatorApi.PREFIX, mControllers.operatorApi());
        return builder.build();
    }

    private Optional<Refusal> notReady() {
        if (!mStage.get().ready()) {
            return Optional.of(Refusal.of(RefusalReason.STOPPING, ""));
        }
        return !mSettled.getAsBoolean()
                        || mControllers.blackboard().view().presetInForce().isEmpty()
                ? Optional.of(Refusal.of(RefusalReason.NO_CONFIGURATION, ""))
                : Optional.empty();
    }
}
