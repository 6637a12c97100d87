package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.vavr.control.Either;
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

    /** Returns the call that frees a prompt that nobody will take. */
    RequestHeaders release(PromptHandle prompt);
}
