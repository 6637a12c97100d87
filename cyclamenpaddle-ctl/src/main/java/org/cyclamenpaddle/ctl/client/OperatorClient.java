package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.ctl.report.CommandError;

/** Client of the operators' API. */
public interface OperatorClient {

    /** Returns the objects of a kind, sorted by name. */
    Either<CommandError, List<ObjectDocument>> list(ObjectKind kind);

    /** Returns an object; empty if there is none. */
    Either<CommandError, Optional<ObjectDocument>> find(ObjectKey key);

    /**
     * Applies a change.
     *
     * @param change change to apply; applied at most once, even if its response is lost
     * @return version of the object after the change
     */
    Either<CommandError, Long> change(Change change);

    /**
     * Drains a backend server.
     *
     * @param backend name of the backend server
     * @param id id of the change
     * @return the object after the change
     */
    Either<CommandError, ObjectDocument> drain(String backend, ChangeId id);

    /** Returns the status document of the first entry host that responds. */
    Either<CommandError, JsonNode> status();

    /** Returns the explanation of a request by the first entry host that knows it. */
    Either<CommandError, JsonNode> explain(String request);
}
