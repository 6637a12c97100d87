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
 * Reads and changes configuration objects in the platform.
 *
 * <p>Futures never complete exceptionally because the platform is unavailable; that is a refusal
 * with reason {@code PLATFORM_AWAY}. The outcome of a change whose response was lost is determined
 * by its change id before the future completes. A refusal with outcome {@code UNKNOWN} means that
 * this was not possible.
 */
public interface ConfigurationAdmin {

    /** Returns all objects of a kind, ordered by name. */
    CompletableFuture<Either<Refusal, List<StoredObject>>> list(ObjectKind kind);

    /** Returns an object; empty if there is none. */
    CompletableFuture<Either<Refusal, Optional<StoredObject>>> find(ObjectKey key);

    /**
     * Creates or replaces an object, after checking its form and its references.
     *
     * @param key key of the object
     * @param spec JSON text of the spec
     * @param precondition condition that the stored object must meet
     * @param change id of this change
     * @return the object as written, or the reason why it was not written
     */
    CompletableFuture<Either<ChangeRefusal, StoredObject>> put(
            ObjectKey key, String spec, Precondition precondition, ChangeId change);

    /**
     * Deletes an object that no other object references.
     *
     * @param key key of the object
     * @param precondition the version that the operator saw
     * @param change id of this change
     * @return the version of the deletion, or the reason why it was not made
     */
    CompletableFuture<Either<ChangeRefusal, Long>> delete(
            ObjectKey key, Precondition precondition, ChangeId change);
}
