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

/** Client of the operators' API over HTTP. */
public final class HttpOperatorClient implements OperatorClient {

    private static final String PREFIX = "/operator/v1";
    private static final String CHANGE_ID = "x-change-id";

    private final Servers mServers;

    /**
     * Creates a client.
     *
     * @param endpoints entry hosts in the order in which they are tried, at least one
     */
    public HttpOperatorClient(List<Endpoint> endpoints) {
        mServers = new Servers(endpoints);
    }

    @Override
    public Either<CommandError, List<ObjectDocument>> list(ObjectKind kind) {
        return mServers.read(PREFIX + "/objects/" + kind.code())
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
                mServers.read(path(key)).map(node -> Optional.of(ObjectDocument.of(node)));
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
        if (change.expected() == 0) {
            headers.add(HttpHeaderNames.IF_NONE_MATCH, "*");
        } else {
            headers.add(HttpHeaderNames.IF_MATCH, Long.toString(change.expected()));
        }
        return mServers.change(headers.build(), body(change))
                .fold(lost -> settle(change), answer -> answer)
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
        return mServers.change(headers, "")
                .fold(lost -> Either.<CommandError, JsonNode>left(unknown(id)), answer -> answer)
                .map(ObjectDocument::of);
    }

    @Override
    public Either<CommandError, JsonNode> status() {
        return mServers.read(PREFIX + "/status");
    }

    @Override
    public Either<CommandError, JsonNode> explain(String request) {
        return mServers.readWhereKnown(PREFIX + "/explain/" + segment(request));
    }

    /**
     * Learns what became of a change whose answer was lost.
     *
     * <p>Safeguard: sending it anew would be refused by its own first run, and the operator would
     * be told of a conflict with himself. The change id in the object says whose change it is.
     */
    private Either<CommandError, JsonNode> settle(Change change) {
        return find(change.key())
                .mapLeft(unreachable -> unknown(change.id()))
                .flatMap(
                        found ->
                                found.filter(o -> o.changeId().equals(change.id().value()))
                                        .<Either<CommandError, JsonNode>>map(
                                                o -> Either.right(version(o.version())))
                                        .orElseGet(() -> Either.left(unknown(change.id()))));
    }

    private static CommandError unknown(ChangeId id) {
        return CommandError.of(
                ExitCode.UNKNOWN, "no answer came to change " + id + "; it may have been made");
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
