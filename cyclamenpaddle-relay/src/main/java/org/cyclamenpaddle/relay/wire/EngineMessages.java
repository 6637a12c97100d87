package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.EngineReport;

/**
 * Encodes calls to engines about their memory and decodes the responses.
 *
 * <p>A decoding method returns a left value with the reason if the response is malformed.
 */
public interface EngineMessages {

    /** Decodes the response body of a prefill call. */
    Either<String, PromptHandle> promptHandle(Backend prefillEngine, byte[] body);

    /**
     * Returns the call that reserves memory on an engine.
     *
     * @param engine engine addressed; another one at its address does not accept the call
     * @param tokens memory to reserve, in tokens
     * @param millis time after which an unused reservation expires
     */
    AggregatedHttpRequest reserve(Backend engine, long tokens, long millis);

    /**
     * Decodes the response to {@link #reserve}.
     *
     * @return the reservation, or that the engine has denied it
     */
    Either<String, Reservation> reservation(AggregatedHttpResponse response);

    /** Returns the call that cancels a reservation that no request will use. */
    RequestHeaders cancel(Backend engine, String reservation);

    /**
     * Returns the call that releases a prefilled prompt, or a generation's memory, that no engine
     * will fetch.
     */
    RequestHeaders release(Backend engine, PromptHandle prompt);

    /** Returns the call that requests an engine's report. */
    RequestHeaders report(Backend engine);

    /** Decodes the response to {@link #report(Backend)}. */
    Either<String, EngineReport> report(AggregatedHttpResponse response);
}
