package org.cyclamenpaddle.standins.engine;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.standins.http.Answers;

/** Engine protocol over HTTP. */
final class EngineRoutes {

    private final EngineStandin mEngine;

    EngineRoutes(EngineStandin engine) {
        mEngine = engine;
    }

    void add(ServerBuilder builder) {
        builder.decorator(
                (delegate, ctx, req) ->
                        mEngine.silenced().silenced(ctx)
                                ? Answers.never()
                                : delegate.serve(ctx, req));
        builder.route().post("/v1/prefill").build((ctx, req) -> prefill(ctx));
        builder.route().post("/v1/decode").build((ctx, req) -> decode(ctx));
        builder.route().get("/v1/export/{attempt}").build((ctx, req) -> export(ctx));
        builder.route().get("/v1/attempts/{attempt}/stream").build((ctx, req) -> stream(ctx));
        builder.route().delete("/v1/attempts/{attempt}").build((ctx, req) -> cancel(ctx));
        builder.route().get("/v1/attempts").build((ctx, req) -> attempts());
        builder.route()
                .get("/v1/load")
                .build((ctx, req) -> later(mEngine.ask(EngineModel::publishedLoad)));
        builder.route()
                .get("/v1/cache-events")
                .build(
                        (ctx, req) -> {
                            long after = ctx.queryParams().getLong("after", 0);
                            return later(mEngine.ask(model -> model.cacheEvents(after)));
                        });
        builder.route()
                .post("/v1/orders")
                .build((ctx, req) -> Answers.withBody(ctx, EngineOrders.Order.class, this::order));
        builder.route()
                .get("/v1/state")
                .build((ctx, req) -> later(mEngine.ask(EngineModel::state)));
        addSwitches(builder);
    }

    private void addSwitches(ServerBuilder builder) {
        builder.route()
                .get("/standin/held")
                .build((ctx, req) -> later(mEngine.ask(m -> Map.of("pieces", m.heldPieces()))));
        builder.route().get("/standin/counts").build((ctx, req) -> Answers.ok(mEngine.counts()));
        builder.route()
                .get("/standin/settings")
                .build((ctx, req) -> Answers.ok(mEngine.settings()));
        builder.route()
                .post("/standin/faults")
                .build((ctx, req) -> Answers.withBody(ctx, EngineFaults.class, mEngine::apply));
    }

    private HttpResponse prefill(ServiceRequestContext ctx) {
        return Answers.withBody(
                ctx,
                PrefillAsk.class,
                ask -> {
                    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
                    mEngine.ask(
                            model -> {
                                model.prefill(ask, done -> answer.complete(prefilled(done)));
                                return ask;
                            });
                    return HttpResponse.of(answer);
                });
    }

    private HttpResponse decode(ServiceRequestContext ctx) {
        return Answers.withBody(
                ctx,
                DecodeAsk.class,
                ask ->
                        HttpResponse.of(
                                mEngine.ask(
                                        model ->
                                                model.decode(ask)
                                                        .fold(
                                                                EngineRoutes::refused,
                                                                attempt ->
                                                                        open(ctx, attempt, 0)))));
    }

    private HttpResponse stream(ServiceRequestContext ctx) {
        String id = ctx.pathParam("attempt");
        int from = ctx.queryParams().getInt("from", 0);
        return HttpResponse.of(
                mEngine.ask(
                        model ->
                                model.decodeAttempt(id)
                                        .map(attempt -> open(ctx, attempt, from))
                                        .orElseGet(() -> unknown(id))));
    }

    private HttpResponse open(ServiceRequestContext ctx, DecodeAttempt attempt, int from) {
        EventStream stream = new EventStream(ctx, mEngine.silenced());
        HttpResponse response = mEngine.track(stream);
        attempt.subscribe(from, stream);
        return response;
    }

    /** Answers when the export's last byte has passed; a caller that leaves aborts it. */
    private HttpResponse export(ServiceRequestContext ctx) {
        String id = ctx.pathParam("attempt");
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        HttpResponse response = HttpResponse.of(answer);
        mEngine.ask(
                model -> {
                    Optional<Runnable> abort =
                            model.export(id, cache -> answer.complete(Answers.ok(cache)));
                    abort.ifPresentOrElse(
                            action -> abortWithCaller(response, answer, action),
                            () -> answer.complete(unknown(id)));
                    return id;
                });
        return response;
    }

    private void abortWithCaller(
            HttpResponse response, CompletableFuture<HttpResponse> answer, Runnable abort) {
        response.whenComplete()
                .exceptionally(
                        left -> {
                            mEngine.ask(
                                    model -> {
                                        if (!answer.isDone()) {
                                            abort.run();
                                        }
                                        return model;
                                    });
                            return null;
                        });
    }

    private HttpResponse cancel(ServiceRequestContext ctx) {
        if (mEngine.cancelsToLose().getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            return Answers.dropConnection(ctx);
        }
        String id = ctx.pathParam("attempt");
        return later(
                mEngine.ask(
                        model -> {
                            model.cancel(id);
                            return Map.of("heldPieces", 0);
                        }));
    }

    private HttpResponse attempts() {
        return later(mEngine.ask(model -> Map.of("attempts", model.attempts())));
    }

    private HttpResponse order(EngineOrders.Order order) {
        return HttpResponse.of(
                mEngine.ask(model -> model.order(order).fold(EngineRoutes::stale, Answers::ok)));
    }

    private static HttpResponse prefilled(Either<EngineRefusal, PrefillDone> done) {
        return done.fold(EngineRoutes::refused, Answers::ok);
    }

    private static HttpResponse refused(EngineRefusal reason) {
        return Answers.error(reason.status(), reason.code(), "refused: " + reason.code());
    }

    private static HttpResponse stale(EngineOrders.Stale stale) {
        return Answers.of(
                EngineRefusal.STALE_FENCE.status(),
                Map.of("reason", EngineRefusal.STALE_FENCE.code(), "fence", stale.fence()));
    }

    private static HttpResponse unknown(String attempt) {
        return Answers.error(HttpStatus.NOT_FOUND, "unknown", "no attempt " + attempt);
    }

    private static <T> HttpResponse later(CompletableFuture<T> body) {
        return HttpResponse.of(body.thenApply(Answers::ok));
    }
}
