package org.cyclamenpaddle.router.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.outcome.Refusal;

/**
 * Reads and changes of configuration objects in the platform.
 *
 * <p>Futures never fail for want of the platform; that is a refusal with reason {@code
 * PLATFORM_AWAY}. A change whose answer was lost is settled by its change id before the future
 * completes. A refusal with outcome {@code UNKNOWN} says that this was not possible.
 */
public interface ConfigurationAdmin {

    /** Returns all objects of a kind in the order of their names. */
    CompletableFuture<Either<Refusal, List<StoredObject>>> list(ObjectKind kind);

    /** Returns an object; empty if there is none. */
    CompletableFuture<Either<Refusal, Optional<StoredObject>>> find(ObjectKey key);

    /**
     * Creates or replaces an object, after its form and its references were checked.
     *
     * @param key which
     * @param spec JSON text of the spec
     * @param precondition what must still hold
     * @param change identity of this change
     * @return the object as written, or why it was not
     */
    CompletableFuture<Either<ChangeRefusal, StoredObject>> put(
            ObjectKey key, String spec, Precondition precondition, ChangeId change);

    /**
     * Deletes an object that no other object names.
     *
     * @param key which
     * @param precondition the version that the operator saw
     * @param change identity of this change
     * @return the version of the deletion, or why it was not made
     */
    CompletableFuture<Either<ChangeRefusal, Long>> delete(
            ObjectKey key, Precondition precondition, ChangeId change);
}
