package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.routing.request.RequestShape;

/** Tells how many tokens a request is expected to generate. */
@FunctionalInterface
public interface ExpectedOutput {

    /** Returns the expected tokens, at most those that the caller allowed. */
    int tokens(RequestShape shape);
}
