package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import java.util.function.Consumer;

/** Fetches prefill results from other engines. */
interface KvFetcher {

    /**
     * Starts a fetch.
     *
     * @param source where the result lies
     * @param done gets the result, or the reason code of the failure; runs as a task of the model
     * @return how to abort the fetch
     */
    Runnable fetch(DecodeAsk.Source source, Consumer<Either<String, KvCache>> done);
}
