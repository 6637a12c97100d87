package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.EngineReport;

/**
 * Encodes what engines are asked about their memory, and decodes what they answer.
 *
 * <p>Where an answer can be wrong, left is what is wrong with it.
 */
public interface EngineMessages {

    /** Decodes the body of the answer to a call that had a prompt read by an engine. */
    Either<String, PromptHandle> promptHandle(Backend reader, byte[] body);

    /**
     * Returns the call that keeps a place at an engine.
     *
     * @param engine the engine; another one at its address does not answer for it
     * @param tokens memory to keep
     * @param millis how long it is kept at most
     */
    AggregatedHttpRequest reserve(Backend engine, long tokens, long millis);

    /**
     * Decodes the answer to {@link #reserve}.
     *
     * @return the name of the place; empty if the engine has no room
     */
    Either<String, Optional<String>> reservation(AggregatedHttpResponse answer);

    /** Returns the call that gives a place back that no request will take. */
    RequestHeaders cancel(String reservation);

    /** Returns the call that frees a prompt, or a generation's memory, that nobody will take. */
    RequestHeaders release(PromptHandle prompt);

    /** Returns the call that asks an engine for a report. */
    RequestHeaders report(Backend engine);

    /** Decodes the answer to {@link #report(Backend)}. */
    Either<String, EngineReport> report(AggregatedHttpResponse answer);
}
