package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.ctl.report.CommandError;

/** What commands ask of the fleet. */
public interface OperatorClient {

    /** Returns the objects of a kind in the order of their names. */
    Either<CommandError, List<ObjectDocument>> list(ObjectKind kind);

    /** Returns an object; empty if there is none. */
    Either<CommandError, Optional<ObjectDocument>> find(ObjectKey key);

    /**
     * Makes a change.
     *
     * @param change made at most once, also when its answer is lost
     * @return version of the object after the change
     */
    Either<CommandError, Long> change(Change change);

    /**
     * Asks a backend server to drain.
     *
     * @param backend its name
     * @param id identity of the change
     * @return the object after the change
     */
    Either<CommandError, ObjectDocument> drain(String backend, ChangeId id);

    /** Returns the status document of the first entry host that answers. */
    Either<CommandError, JsonNode> status();

    /** Returns the explanation of a request by the first entry host that knows it. */
    Either<CommandError, JsonNode> explain(String request);
}
