package org.cyclamenpaddle.router.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;

/** Marks a backend server as leaving, whatever else others change on it meanwhile. */
final class BackendDrain {

    /**
     * Tries against racing edits.
     *
     * <p>Safeguard: an edit that comes between read and write would make the drain fail, although
     * the operator's wish does not depend on the version. Each try starts from the winner, so that
     * the other edit is kept.
     */
    private static final int TRIES = 4;

    private static final String LEAVING = "leaving";

    private final ConfigurationAdmin mAdmin;

    BackendDrain(ConfigurationAdmin admin) {
        mAdmin = admin;
    }

    CompletableFuture<Either<ChangeRefusal, StoredObject>> drain(ObjectKey key, ChangeId change) {
        return drain(key, change, TRIES);
    }

    private CompletableFuture<Either<ChangeRefusal, StoredObject>> drain(
            ObjectKey key, ChangeId change, int triesLeft) {
        return mAdmin.find(key)
                .thenCompose(
                        found ->
                                found.fold(
                                        refusal -> refused(refusal),
                                        stored ->
                                                stored.map(s -> mark(s, change, triesLeft))
                                                        .orElseGet(() -> refused(unknown(key)))));
    }

    private CompletableFuture<Either<ChangeRefusal, StoredObject>> mark(
            StoredObject stored, ChangeId change, int triesLeft) {
        Optional<String> spec = leaving(stored);
        if (spec.isEmpty()) {
            return CompletableFuture.completedFuture(Either.right(stored));
        }
        return mAdmin.put(stored.key(), spec.get(), Precondition.at(stored.version()), change)
                .thenCompose(
                        result ->
                                raced(result) && triesLeft > 1
                                        ? drain(stored.key(), change, triesLeft - 1)
                                        : CompletableFuture.completedFuture(result));
    }

    /** Returns the spec marked as leaving; empty if it is so already. */
    private static Optional<String> leaving(StoredObject stored) {
        return OperatorJson.read(stored.spec())
                .filter(spec -> spec.isObject() && !spec.path(LEAVING).asBoolean())
                .map(spec -> ((ObjectNode) spec).put(LEAVING, true).toString());
    }

    private static boolean raced(Either<ChangeRefusal, StoredObject> result) {
        return result.isLeft() && result.getLeft().refusal().reason() == RefusalReason.CONFLICT;
    }

    private static Refusal unknown(ObjectKey key) {
        return Refusal.of(RefusalReason.UNKNOWN_OBJECT, key.path() + " is not known");
    }

    private static CompletableFuture<Either<ChangeRefusal, StoredObject>> refused(Refusal refusal) {
        return CompletableFuture.completedFuture(Either.left(ChangeRefusal.of(refusal)));
    }
}
