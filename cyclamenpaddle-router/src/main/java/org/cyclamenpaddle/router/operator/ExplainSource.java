package org.cyclamenpaddle.router.operator;

import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.router.explain.Explanation;

/** Source of what was decided for a request. */
@FunctionalInterface
public interface ExplainSource {

    /** Returns what this host decided for a request; empty if it does not know the request. */
    Optional<Explanation> explain(RequestId request);
}
