package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;
import org.cyclamenpaddle.ctl.report.Json;

/** HTTP client of the operators' API. */
public final class HttpOperatorClient implements OperatorClient {

    private static final String PREFIX = "/operator/v1";
    private static final String CHANGE_ID = "x-change-id";

    private final FailoverClient mClient;

    /**
     * Creates a client.
     *
     * @param endpoints entry hosts in the order in which they are tried, at least one
     */
    public HttpOperatorClient(List<Endpoint> endpoints) {
        mClient = new FailoverClient(endpoints);
    }

    @Override
    public Either<CommandError, List<ObjectDocument>> list(ObjectKind kind) {
        return mClient.read(PREFIX + "/objects/" + kind.code())
                .map(
                        document ->
                                document.path("objects")
                                        .valueStream()
                                        .map(ObjectDocument::of)
                                        .toList());
    }

    @Override
    public Either<CommandError, Optional<ObjectDocument>> find(ObjectKey key) {
        Either<CommandError, Optional<ObjectDocument>> found =
                mClient.read(path(key)).map(node -> Optional.of(ObjectDocument.of(node)));
        boolean absent = found.isLeft() && found.getLeft().code() == ExitCode.NOT_FOUND;
        return absent ? Either.right(Optional.empty()) : found;
    }

    @Override
    public Either<CommandError, Long> change(Change change) {
        HttpMethod method = change.spec().isPresent() ? HttpMethod.PUT : HttpMethod.DELETE;
        RequestHeadersBuilder headers =
                RequestHeaders.builder(method, path(change.key()))
                        .contentType(MediaType.JSON)
                        .add(CHANGE_ID, change.id().value());
        if (change.expectedVersion() == 0) {
            headers.add(HttpHeaderNames.IF_NONE_MATCH, "*");
        } else {
            headers.add(HttpHeaderNames.IF_MATCH, Long.toString(change.expectedVersion()));
        }
        return mClient.change(headers.build(), body(change))
                .fold(lost -> resolveOutcome(change), response -> response)
                .map(document -> document.path("version").asLong());
    }

    @Override
    public Either<CommandError, ObjectDocument> drain(String backend, ChangeId id) {
        RequestHeaders headers =
                RequestHeaders.builder(
                                HttpMethod.POST,
                                PREFIX + "/backends/" + segment(backend) + "/drain")
                        .add(CHANGE_ID, id.value())
                        .build();
        return mClient.change(headers, "")
                .fold(
                        lost -> Either.<CommandError, JsonNode>left(outcomeUnknown(id)),
                        response -> response)
                .map(ObjectDocument::of);
    }

    @Override
    public Either<CommandError, JsonNode> status() {
        return mClient.read(PREFIX + "/status");
    }

    @Override
    public Either<CommandError, JsonNode> explain(String request) {
        return mClient.readFirstFound(PREFIX + "/explain/" + segment(request));
    }

    /**
     * Resolves the outcome of a change whose response was lost by reading the object.
     *
     * <p>Safeguard: the change is not sent again. If it was applied the first time, the retry would
     * fail its version check and report a conflict with the operator's own change. The change id in
     * the object identifies the change that wrote it.
     */
    private Either<CommandError, JsonNode> resolveOutcome(Change change) {
        return find(change.key())
                .mapLeft(unreachable -> outcomeUnknown(change.id()))
                .flatMap(
                        found ->
                                found.filter(o -> o.changeId().equals(change.id().value()))
                                        .<Either<CommandError, JsonNode>>map(
                                                o -> Either.right(version(o.version())))
                                        .orElseGet(() -> Either.left(outcomeUnknown(change.id()))));
    }

    private static CommandError outcomeUnknown(ChangeId id) {
        return CommandError.of(
                ExitCode.UNKNOWN, "no response to change " + id + "; it may have been applied");
    }

    private static JsonNode version(long version) {
        return Json.object().put("version", version);
    }

    private static String body(Change change) {
        return change.spec().map(spec -> Json.object().set("spec", spec).toString()).orElse("");
    }

    private static String path(ObjectKey key) {
        return PREFIX + "/objects/" + key.kind().code() + "/" + segment(key.name());
    }

    private static String segment(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
