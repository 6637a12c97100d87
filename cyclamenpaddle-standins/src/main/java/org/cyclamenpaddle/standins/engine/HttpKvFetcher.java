package org.cyclamenpaddle.standins.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import io.vavr.control.Either;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Fetches prefill results with {@code GET /v1/export/{attempt}} from the source engine. */
final class HttpKvFetcher implements KvFetcher {

    private static final String EVICTED = "evicted";

    private final Executor mExecutor;
    private final WebClient mClient =
            WebClient.builder().responseTimeoutMillis(0).maxResponseLength(0).build();

    /** Creates a fetcher that runs callbacks on {@code executor}. */
    HttpKvFetcher(Executor executor) {
        mExecutor = executor;
    }

    @Override
    public Runnable fetch(DecodeRequest.Source source, Consumer<Either<String, KvCache>> done) {
        String uri =
                "http://"
                        + source.address()
                        + ":"
                        + source.port()
                        + "/v1/export/"
                        + source.attempt();
        HttpResponse export = mClient.get(uri);
        export.aggregate()
                .handle((response, failure) -> failure == null ? parse(response) : lost())
                .thenAcceptAsync(done, mExecutor);
        return export::abort;
    }

    private static Either<String, KvCache> parse(AggregatedHttpResponse response) {
        if (!response.status().equals(HttpStatus.OK)) {
            return lost();
        }
        try {
            return Either.right(
                    JsonResponses.JSON.readValue(response.contentUtf8(), KvCache.class));
        } catch (JsonProcessingException e) {
            return lost();
        }
    }

    /** Reports a source that is unreachable or does not have the result as an evicted result. */
    private static Either<String, KvCache> lost() {
        return Either.left(EVICTED);
    }
}
