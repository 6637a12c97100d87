package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import org.cyclamenpaddle.relay.backend.Backend;

/** Encodes what backend servers are sent, and decodes what they answer. */
public interface BackendMessages {

    /** Returns the headers with which a caller's request is sent on. */
    RequestHeaders request(CallerRequest request, BackendCall call);

    /** Decodes the head of an answer. */
    BackendAnswer answer(ResponseHeaders headers);

    /**
     * Decodes the answer to a call that had a prompt read.
     *
     * @param reader the engine that read it
     * @param body the body of its answer
     * @return the handle, or what is wrong with the body
     */
    Either<String, PromptHandle> prompt(Backend reader, byte[] body);

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

    /** Returns the call that frees a prompt that nobody will take. */
    RequestHeaders release(PromptHandle prompt);
}
