package org.cyclamenpaddle.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import io.vavr.control.Try;
import java.util.Map;
import org.cyclamenpaddle.standins.engine.EngineCounts;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Client of one engine stand-in that reads its counters and sets its faults. */
final class EngineProbe {

    private final WebClient mClient;

    /** Creates a client of the engine at {@code address}, as {@code host:port}. */
    EngineProbe(String address) {
        mClient = WebClient.of("http://" + address);
    }

    private record Held(int pieces) {}

    EngineSettings settings() {
        return EngineSettings.fromJson(get("/standin/settings"));
    }

    EngineCounts counts() {
        return read("/standin/counts", EngineCounts.class);
    }

    int heldPieces() {
        return read("/standin/held", Held.class).pieces();
    }

    /** Crashes the engine, which restarts without state after {@code restartMillis}. */
    void crash(long restartMillis) {
        // The crash closes the connection, so a failed response is ignored.
        switches(Map.of("crash", true, "restartMillis", restartMillis));
    }

    /** Sets the delay of the engine's published load, in modelled milliseconds. */
    void loadLag(long millis) {
        switches(Map.of("loadLagMillis", millis)).get();
    }

    private Try<String> switches(Map<String, Object> faults) {
        HttpRequest request =
                HttpRequest.of(
                        HttpMethod.POST,
                        "/standin/faults",
                        MediaType.JSON,
                        JsonResponses.write(faults));
        return Try.of(() -> mClient.execute(request).aggregate().join().contentUtf8());
    }

    private <T> T read(String path, Class<T> type) {
        String body = get(path);
        try {
            return JsonResponses.JSON.readValue(body, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "unexpected response, not from an engine stand-in: " + path, e);
        }
    }

    private String get(String path) {
        return mClient.get(path).aggregate().join().contentUtf8();
    }
}
