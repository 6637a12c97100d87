package org.cyclamenpaddle.router.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;

/** Marks a backend server as leaving, retrying when concurrent edits change it in the meantime. */
final class BackendDrainCommand {

    /**
     * Maximum number of attempts under concurrent edits.
     *
     * <p>Safeguard: an edit between the read and the write would make the drain fail, although a
     * drain does not depend on the version. Each attempt starts from the current version, so that
     * the other edit is preserved.
     */
    private static final int ATTEMPT_LIMIT = 4;

    private static final String LEAVING = "leaving";

    private final ConfigurationAdmin mAdmin;

    BackendDrainCommand(ConfigurationAdmin admin) {
        mAdmin = admin;
    }

    CompletableFuture<Either<ChangeRefusal, StoredObject>> drain(ObjectKey key, ChangeId change) {
        return drain(key, change, ATTEMPT_LIMIT);
    }

    private CompletableFuture<Either<ChangeRefusal, StoredObject>> drain(
            ObjectKey key, ChangeId change, int attemptsLeft) {
        return mAdmin.find(key)
                .thenCompose(
                        found ->
                                found.fold(
                                        refusal -> refused(refusal),
                                        stored ->
                                                stored.map(
                                                                s ->
                                                                        markLeaving(
                                                                                s,
                                                                                change,
                                                                                attemptsLeft))
                                                        .orElseGet(() -> refused(unknown(key)))));
    }

    private CompletableFuture<Either<ChangeRefusal, StoredObject>> markLeaving(
            StoredObject stored, ChangeId change, int attemptsLeft) {
        Optional<String> spec = withLeaving(stored);
        if (spec.isEmpty()) {
            return CompletableFuture.completedFuture(Either.right(stored));
        }
        return mAdmin.put(stored.key(), spec.get(), Precondition.at(stored.version()), change)
                .thenCompose(
                        result ->
                                isConflict(result) && attemptsLeft > 1
                                        ? drain(stored.key(), change, attemptsLeft - 1)
                                        : CompletableFuture.completedFuture(result));
    }

    /** Returns the spec marked as leaving; empty if it already is. */
    private static Optional<String> withLeaving(StoredObject stored) {
        return OperatorJson.read(stored.spec())
                .filter(spec -> spec.isObject() && !spec.path(LEAVING).asBoolean())
                .map(spec -> ((ObjectNode) spec).put(LEAVING, true).toString());
    }

    private static boolean isConflict(Either<ChangeRefusal, StoredObject> result) {
        return result.isLeft() && result.getLeft().refusal().reason() == RefusalReason.CONFLICT;
    }

    private static Refusal unknown(ObjectKey key) {
        return Refusal.of(RefusalReason.UNKNOWN_OBJECT, key.path() + " is not known");
    }

    private static CompletableFuture<Either<ChangeRefusal, StoredObject>> refused(Refusal refusal) {
        return CompletableFuture.completedFuture(Either.left(ChangeRefusal.of(refusal)));
    }
}
