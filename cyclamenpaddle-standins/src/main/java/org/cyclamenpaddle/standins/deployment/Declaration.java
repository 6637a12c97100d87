package org.cyclamenpaddle.standins.deployment;

import com.fasterxml.jackson.core.type.TypeReference;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Creates configuration objects through the operator API of an entry host. */
public final class Declaration {

    private static final long TIMEOUT_MILLIS = 30_000;

    private final WebClient mEntry;

    /** Creates a client of the entry host at {@code address}, as {@code host:port}. */
    public Declaration(String address) {
        mEntry =
                WebClient.builder("http://" + address)
                        .responseTimeoutMillis(TIMEOUT_MILLIS)
                        .build();
    }

    /** Reads a file of objects written by {@link DeploymentFiles}. */
    public static List<DeclaredObject> read(Path file) throws IOException {
        return JsonResponses.JSON.readValue(file.toFile(), new TypeReference<>() {});
    }

    /**
     * Creates objects in the given order.
     *
     * @throws IOException if an object is rejected; the objects before it remain created
     */
    public void declare(List<DeclaredObject> objects) throws IOException {
        for (DeclaredObject object : objects) {
            AggregatedHttpResponse response = mEntry.execute(request(object)).aggregate().join();
            if (!response.status().isSuccess()) {
                throw new IOException(
                        object.kind() + "/" + object.name() + ": " + response.contentUtf8());
            }
        }
    }

    private static HttpRequest request(DeclaredObject object) {
        return HttpRequest.builder()
                .method(HttpMethod.PUT)
                .path("/operator/v1/objects/" + object.kind() + "/" + object.name())
                .header("If-None-Match", "*")
                .header("X-Change-Id", "declare-" + UUID.randomUUID())
                .content(MediaType.JSON, JsonResponses.write(Map.of("spec", object.spec())))
                .build();
    }
}
