package org.cyclamenpaddle.standins.engine;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** HTTP routes of the engine protocol and of the fault switches. */
final class EngineRoutes {

    private final EngineStandin mEngine;

    EngineRoutes(EngineStandin engine) {
        mEngine = engine;
    }

    void add(ServerBuilder builder) {
        builder.decorator(
                (delegate, ctx, req) ->
                        mEngine.silenced().silenced(ctx)
                                ? JsonResponses.never()
                                : delegate.serve(ctx, req));
        builder.route().post("/v1/prefill").build((ctx, req) -> prefill(ctx));
        builder.route().post("/v1/decode").build((ctx, req) -> decode(ctx));
        builder.route().get("/v1/export/{attempt}").build((ctx, req) -> export(ctx));
        builder.route().get("/v1/attempts/{attempt}/stream").build((ctx, req) -> stream(ctx));
        builder.route().delete("/v1/attempts/{attempt}").build((ctx, req) -> cancel(ctx));
        builder.route().get("/v1/attempts").build((ctx, req) -> attempts());
        builder.route()
                .get("/v1/load")
                .build((ctx, req) -> okWhenDone(mEngine.call(EngineModel::publishedLoad)));
        builder.route()
                .get("/v1/cache-events")
                .build(
                        (ctx, req) -> {
                            long after = ctx.queryParams().getLong("after", 0);
                            return okWhenDone(mEngine.call(model -> model.cacheEvents(after)));
                        });
        builder.route()
                .post("/v1/orders")
                .build(
                        (ctx, req) ->
                                JsonResponses.withBody(ctx, EngineOrders.Order.class, this::order));
        builder.route()
                .get("/v1/state")
                .build((ctx, req) -> okWhenDone(mEngine.call(EngineModel::state)));
        addSwitches(builder);
    }

    private void addSwitches(ServerBuilder builder) {
        builder.route()
                .get("/standin/held")
                .build(
                        (ctx, req) ->
                                okWhenDone(mEngine.call(m -> Map.of("pieces", m.heldPieces()))));
        builder.route()
                .get("/standin/counts")
                .build((ctx, req) -> JsonResponses.ok(mEngine.counts()));
        builder.route()
                .get("/standin/settings")
                .build((ctx, req) -> JsonResponses.ok(mEngine.settings()));
        builder.route()
                .post("/standin/faults")
                .build(
                        (ctx, req) ->
                                JsonResponses.withBody(ctx, EngineFaults.class, mEngine::apply));
    }

    private HttpResponse prefill(ServiceRequestContext ctx) {
        return JsonResponses.withBody(
                ctx,
                PrefillRequest.class,
                request -> {
                    CompletableFuture<HttpResponse> responseFuture = new CompletableFuture<>();
                    mEngine.call(
                            model -> {
                                model.prefill(
                                        request,
                                        result -> responseFuture.complete(prefilled(result)));
                                return request;
                            });
                    return HttpResponse.of(responseFuture);
                });
    }

    private HttpResponse decode(ServiceRequestContext ctx) {
        return JsonResponses.withBody(
                ctx,
                DecodeRequest.class,
                request ->
                        HttpResponse.of(
                                mEngine.call(
                                        model ->
                                                model.decode(request)
                                                        .fold(
                                                                EngineRoutes::rejected,
                                                                attempt ->
                                                                        open(ctx, attempt, 0)))));
    }

    private HttpResponse stream(ServiceRequestContext ctx) {
        String id = ctx.pathParam("attempt");
        int from = ctx.queryParams().getInt("from", 0);
        return HttpResponse.of(
                mEngine.call(
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

    /** Responds when the last byte was exported; aborts the export if the client disconnects. */
    private HttpResponse export(ServiceRequestContext ctx) {
        String id = ctx.pathParam("attempt");
        CompletableFuture<HttpResponse> responseFuture = new CompletableFuture<>();
        HttpResponse response = HttpResponse.of(responseFuture);
        mEngine.call(
                model -> {
                    Optional<Runnable> abort =
                            model.export(
                                    id, cache -> responseFuture.complete(JsonResponses.ok(cache)));
                    abort.ifPresentOrElse(
                            action -> abortOnDisconnect(response, responseFuture, action),
                            () -> responseFuture.complete(unknown(id)));
                    return id;
                });
        return response;
    }

    private void abortOnDisconnect(
            HttpResponse response, CompletableFuture<HttpResponse> responseFuture, Runnable abort) {
        response.whenComplete()
                .exceptionally(
                        disconnected -> {
                            mEngine.call(
                                    model -> {
                                        if (!responseFuture.isDone()) {
                                            abort.run();
                                        }
                                        return model;
                                    });
                            return null;
                        });
    }

    private HttpResponse cancel(ServiceRequestContext ctx) {
        if (mEngine.cancelsToLose().getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            return JsonResponses.dropConnection(ctx);
        }
        String id = ctx.pathParam("attempt");
        return okWhenDone(
                mEngine.call(
                        model -> {
                            model.cancel(id);
                            return Map.of("heldPieces", 0);
                        }));
    }

    private HttpResponse attempts() {
        return okWhenDone(mEngine.call(model -> Map.of("attempts", model.attempts())));
    }

    private HttpResponse order(EngineOrders.Order order) {
        return HttpResponse.of(
                mEngine.call(
                        model -> model.order(order).fold(EngineRoutes::stale, JsonResponses::ok)));
    }

    private static HttpResponse prefilled(Either<EngineRejection, PrefillResponse> done) {
        return done.fold(EngineRoutes::rejected, JsonResponses::ok);
    }

    private static HttpResponse rejected(EngineRejection reason) {
        return JsonResponses.error(reason.status(), reason.code(), "refused: " + reason.code());
    }

    private static HttpResponse stale(EngineOrders.Stale stale) {
        return JsonResponses.of(
                EngineRejection.STALE_FENCE.status(),
                Map.of("reason", EngineRejection.STALE_FENCE.code(), "fence", stale.fence()));
    }

    private static HttpResponse unknown(String attempt) {
        return JsonResponses.error(HttpStatus.NOT_FOUND, "unknown", "no attempt " + attempt);
    }

    private static <T> HttpResponse okWhenDone(CompletableFuture<T> body) {
        return HttpResponse.of(body.thenApply(JsonResponses::ok));
    }
}
