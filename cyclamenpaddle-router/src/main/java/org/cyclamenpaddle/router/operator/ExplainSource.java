package org.cyclamenpaddle.router.operator;

import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.router.explain.Explanation;

/** Provides the recorded routing decisions of requests. */
@FunctionalInterface
public interface ExplainSource {

    /** Returns the decisions that this host made for a request; empty if the request is unknown. */
    Optional<Explanation> explain(RequestId request);
}
