package org.cyclamenpaddle.standins.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import io.vavr.control.Either;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cyclamenpaddle.standins.http.Answers;

/** Fetches prefill results by {@code GET /v1/export/{attempt}} on the source. */
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
    public Runnable fetch(DecodeAsk.Source source, Consumer<Either<String, KvCache>> done) {
        String uri =
                "http://"
                        + source.address()
                        + ":"
                        + source.port()
                        + "/v1/export/"
                        + source.attempt();
        HttpResponse response = mClient.get(uri);
        response.aggregate()
                .handle((answer, failure) -> failure == null ? parse(answer) : lost())
                .thenAcceptAsync(done, mExecutor);
        return response::abort;
    }

    private static Either<String, KvCache> parse(AggregatedHttpResponse answer) {
        if (!answer.status().equals(HttpStatus.OK)) {
            return lost();
        }
        try {
            return Either.right(Answers.JSON.readValue(answer.contentUtf8(), KvCache.class));
        } catch (JsonProcessingException e) {
            return lost();
        }
    }

    /** A source that is gone, or does not know the result, has lost it. */
    private static Either<String, KvCache> lost() {
        return Either.left(EVICTED);
    }
}
