package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import java.util.function.Consumer;

/** Fetches prefill results from other engines. */
interface KvFetcher {

    /**
     * Starts a fetch.
     *
     * @param source engine and attempt that hold the result
     * @param done receives the result or the reason code of a failure; runs as a task of the model
     * @return aborts the fetch
     */
    Runnable fetch(DecodeRequest.Source source, Consumer<Either<String, KvCache>> done);
}
