package org.cyclamenpaddle.router.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.annotation.Delete;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import com.linecorp.armeria.server.annotation.Put;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.router.problem.Problem;

/**
 * Annotated HTTP service for operators, to be mounted at {@value #PREFIX}.
 *
 * <p>Paths and bodies are specified in the protocol documentation. Every refusal is a problem
 * document.
 */
public final class OperatorApi {

    /** Path prefix under which the API is mounted. */
    public static final String PREFIX = "/operator/v1";

    private final ConfigurationAdmin mAdmin;
    private final BackendDrainCommand mDrain;
    private final StatusSource mStatus;
    private final ExplainSource mExplain;

    /**
     * Creates the API.
     *
     * @param admin reads and changes configuration objects
     * @param status reports the status of the fleet
     * @param explain provides the decisions made for a request
     */
    public OperatorApi(ConfigurationAdmin admin, StatusSource status, ExplainSource explain) {
        mAdmin = admin;
        mDrain = new BackendDrainCommand(admin);
        mStatus = status;
        mExplain = explain;
    }

    /** Lists the objects of a kind. */
    @Get("/objects/{kind}")
    public CompletableFuture<HttpResponse> list(@Param("kind") String kind) {
        return ObjectKind.fromCode(kind)
                .map(known -> mAdmin.list(known).thenApply(readResponse(OperatorJson::objects)))
                .orElseGet(() -> completed(unknown("kind " + kind)));
    }

    /** Returns one object. */
    @Get("/objects/{kind}/{name}")
    public CompletableFuture<HttpResponse> show(
            @Param("kind") String kind, @Param("name") String name) {
        return key(kind, name)
                .map(key -> mAdmin.find(key).thenApply(result -> findResponse(key, result)))
                .orElseGet(() -> completed(unknown(kind + "/" + name)));
    }

    /** Creates or replaces one object. */
    @Put("/objects/{kind}/{name}")
    public CompletableFuture<HttpResponse> put(
            @Param("kind") String kind, @Param("name") String name, AggregatedHttpRequest request) {
        Optional<JsonNode> spec =
                OperatorJson.read(request.contentUtf8())
                        .map(body -> body.path("spec"))
                        .filter(JsonNode::isObject);
        if (spec.isEmpty()) {
            return completed(Problem.of(RefusalReason.BAD_BODY, "the body has no object \"spec\""));
        }
        return key(kind, name)
                .map(key -> put(key, spec.get().toString(), request))
                .orElseGet(() -> completed(unknown(kind + "/" + name)));
    }

    /** Deletes one object. */
    @Delete("/objects/{kind}/{name}")
    public CompletableFuture<HttpResponse> delete(
            @Param("kind") String kind, @Param("name") String name, AggregatedHttpRequest request) {
        return key(kind, name)
                .map(key -> delete(key, request))
                .orElseGet(() -> completed(unknown(kind + "/" + name)));
    }

    /**
     * Starts the drain of a backend server: it gets no new work, and requests in flight continue.
     */
    @Post("/backends/{name}/drain")
    public CompletableFuture<HttpResponse> drain(
            @Param("name") String name, AggregatedHttpRequest request) {
        return ChangeHeaders.change(request.headers())
                .fold(
                        problem -> completed(problem),
                        change ->
                                key(ObjectKind.BACKEND.code(), name)
                                        .map(key -> mDrain.drain(key, change))
                                        .map(
                                                done ->
                                                        done.thenApply(
                                                                changeResponse(
                                                                        OperatorJson::object)))
                                        .orElseGet(() -> completed(unknown("backend/" + name))));
    }

    /** Returns the status of the fleet as seen by this host. */
    @Get("/status")
    public HttpResponse status() {
        return json(OperatorJson.status(mStatus.report()));
    }

    /** Returns the decisions made for a request. */
    @Get("/explain/{request}")
    public HttpResponse explain(@Param("request") String request) {
        return requestId(request)
                .flatMap(mExplain::explain)
                .map(explanation -> json(OperatorJson.explanation(explanation)))
                .orElseGet(() -> unknown("request " + request).response());
    }

    private CompletableFuture<HttpResponse> put(
            ObjectKey key, String spec, AggregatedHttpRequest request) {
        return ChangeHeaders.read(request.headers())
                .fold(
                        problem -> completed(problem),
                        headers ->
                                mAdmin.put(key, spec, headers.precondition(), headers.change())
                                        .thenApply(changeResponse(OperatorJson::object)));
    }

    private CompletableFuture<HttpResponse> delete(ObjectKey key, AggregatedHttpRequest request) {
        return ChangeHeaders.read(request.headers())
                .fold(
                        problem -> completed(problem),
                        headers ->
                                mAdmin.delete(key, headers.precondition(), headers.change())
                                        .thenApply(changeResponse(OperatorJson::deleted)));
    }

    private static <T> Function<Either<Refusal, T>, HttpResponse> readResponse(
            Function<T, ObjectNode> form) {
        return result ->
                result.fold(
                        refusal -> Problem.of(refusal).response(),
                        value -> json(form.apply(value)));
    }

    private static <T> Function<Either<ChangeRefusal, T>, HttpResponse> changeResponse(
            Function<T, ObjectNode> form) {
        return result ->
                result.fold(
                        refusal -> problem(refusal).response(), value -> json(form.apply(value)));
    }

    private static HttpResponse findResponse(
            ObjectKey key, Either<Refusal, Optional<StoredObject>> result) {
        return result.fold(
                refusal -> Problem.of(refusal).response(),
                stored ->
                        stored.map(object -> json(OperatorJson.object(object)))
                                .orElseGet(() -> unknown(key.path()).response()));
    }

    private static Problem problem(ChangeRefusal refused) {
        Problem problem = Problem.of(refused.refusal());
        return refused.current()
                .map(OperatorJson::winner)
                .map(problem::withMembers)
                .orElse(problem);
    }

    private static Problem unknown(String what) {
        return Problem.of(RefusalReason.UNKNOWN_OBJECT, what + " is not known");
    }

    private static Optional<ObjectKey> key(String kind, String name) {
        return ObjectKind.fromCode(kind)
                .filter(known -> known != ObjectKind.IN_FORCE || isInForce(name))
                .map(known -> new ObjectKey(known, name));
    }

    private static boolean isInForce(String name) {
        return name.equals(ObjectKey.IN_FORCE_NAME);
    }

    private static Optional<RequestId> requestId(String text) {
        try {
            return Optional.of(new RequestId(text));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static CompletableFuture<HttpResponse> completed(Problem problem) {
        return CompletableFuture.completedFuture(problem.response());
    }

    private static HttpResponse json(ObjectNode document) {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, document.toString());
    }
}
