package org.cyclamenpaddle.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.annotation.Delete;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import com.linecorp.armeria.server.annotation.Put;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.cyclamenpaddle.ctl.report.Json;

/**
 * In-memory operators' API with version checks that can lose responses and report unknown outcomes.
 */
public final class FakeOperatorApi {

    /** When the response to a change is lost. */
    public enum ResponseLoss {
        NEVER,
        /** The host fails before the change; the response does not contain an outcome. */
        BEFORE_CHANGE,
        /** The response is aborted after the change. */
        AFTER_CHANGE
    }

    private final Map<String, ObjectNode> mObjects = new TreeMap<>();
    private final Deque<JsonNode> mStatuses = new ArrayDeque<>();
    private long mRevision;
    private ResponseLoss mResponseLoss = ResponseLoss.NEVER;
    private int mChangeRequests;
    private boolean mOutcomeUnknown;

    /** Loses the responses to all subsequent changes. */
    public synchronized void loseResponses(ResponseLoss loss) {
        mResponseLoss = loss;
    }

    /** Sets the responses to the next status requests; the last one is repeated. */
    public synchronized void statuses(JsonNode... statuses) {
        mStatuses.addAll(java.util.List.of(statuses));
    }

    /** Rejects all subsequent lists and changes with an unknown outcome. */
    public synchronized void reportUnknownOutcomes() {
        mOutcomeUnknown = true;
    }

    public synchronized int changeRequests() {
        return mChangeRequests;
    }

    public synchronized JsonNode spec(String path) {
        return mObjects.getOrDefault(path, Json.object()).path("spec");
    }

    public synchronized long write(String path, String changeId, JsonNode spec) {
        ObjectNode object = Json.object();
        object.put("name", path.substring(path.indexOf('/') + 1));
        object.put("version", ++mRevision);
        object.put("changeId", changeId);
        object.set("spec", spec);
        mObjects.put(path, object);
        return mRevision;
    }

    @Get("/objects/{kind}")
    public synchronized HttpResponse list(@Param("kind") String kind) {
        if (mOutcomeUnknown) {
            return problem(503, "change-unknown", Json.object().put("outcome", "unknown"));
        }
        ObjectNode response = Json.object();
        var array = response.putArray("objects");
        mObjects.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(kind + "/"))
                .forEach(entry -> array.add(entry.getValue()));
        return json(response);
    }

    @Get("/objects/{kind}/{name}")
    public synchronized HttpResponse show(@Param("kind") String kind, @Param("name") String name) {
        ObjectNode object = mObjects.get(kind + "/" + name);
        return object == null ? problem(404, "unknown-object", Json.object()) : json(object);
    }

    @Put("/objects/{kind}/{name}")
    public HttpResponse put(
            @Param("kind") String kind, @Param("name") String name, AggregatedHttpRequest request) {
        JsonNode spec = Json.read(request.contentUtf8()).orElseThrow().path("spec");
        String path = kind + "/" + name;
        return change(path, request, change -> write(path, change, spec));
    }

    @Delete("/objects/{kind}/{name}")
    public HttpResponse delete(
            @Param("kind") String kind, @Param("name") String name, AggregatedHttpRequest request) {
        String path = kind + "/" + name;
        return change(
                path,
                request,
                change -> {
                    mObjects.remove(path);
                    return ++mRevision;
                });
    }

    @Post("/backends/{name}/drain")
    public synchronized HttpResponse drain(@Param("name") String name) {
        ObjectNode object = mObjects.get("backend/" + name);
        if (object == null) {
            return problem(404, "unknown-object", Json.object());
        }
        ((ObjectNode) object.path("spec")).put("leaving", true);
        object.put("version", ++mRevision);
        return json(object);
    }

    @Get("/status")
    public synchronized HttpResponse status() {
        return json(mStatuses.size() > 1 ? mStatuses.poll() : mStatuses.peek());
    }

    @Get("/explain/{request}")
    public HttpResponse explain(@Param("request") String request) {
        if (!request.equals("r-1")) {
            return problem(404, "unknown-object", Json.object());
        }
        ObjectNode response = Json.object().put("request", request);
        response.putArray("decisions")
                .add(Json.object().put("afterMillis", 3).put("step", "placed").put("text", "d1"));
        return json(response);
    }

    private synchronized HttpResponse change(
            String path,
            AggregatedHttpRequest request,
            java.util.function.Function<String, Long> change) {
        mChangeRequests++;
        if (mOutcomeUnknown) {
            return problem(503, "change-unknown", Json.object().put("outcome", "unknown"));
        }
        if (mResponseLoss == ResponseLoss.BEFORE_CHANGE) {
            return HttpResponse.of(500);
        }
        ObjectNode current = mObjects.get(path);
        String version = current == null ? "" : current.path("version").asText();
        if (!request.headers().get("if-match", "").equals(version)) {
            ObjectNode winner = Json.object();
            if (current != null) {
                winner.set("winner", current);
            }
            return problem(409, "conflict", winner);
        }
        long written = change.apply(request.headers().get("x-change-id"));
        return mResponseLoss == ResponseLoss.AFTER_CHANGE
                ? brokenResponse()
                : json(Json.object().put("version", written));
    }

    private static HttpResponse brokenResponse() {
        HttpResponseWriter response = HttpResponse.streaming();
        response.write(ResponseHeaders.of(HttpStatus.OK));
        response.close(new IllegalStateException("response lost"));
        return response;
    }

    private static HttpResponse problem(int status, String reason, ObjectNode members) {
        ObjectNode document = Json.object();
        document.put("title", "Refused.");
        document.put("detail", "rejected by the test");
        document.put("reason", reason);
        document.put("outcome", "not-run");
        document.setAll(members);
        return HttpResponse.of(HttpStatus.valueOf(status), MediaType.JSON, document.toString());
    }

    private static HttpResponse json(JsonNode document) {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, document.toString());
    }
}
