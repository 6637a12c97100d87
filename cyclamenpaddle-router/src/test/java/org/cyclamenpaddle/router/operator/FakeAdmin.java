package org.cyclamenpaddle.router.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;

/** In-memory configuration objects, with one concurrent edit on demand. */
final class FakeAdmin implements ConfigurationAdmin {

    private final Map<ObjectKey, StoredObject> mObjects = new TreeMap<>();
    private long mRevision;
    private boolean mUnavailable;
    private Optional<String> mRacingSpec = Optional.empty();

    /** Writes {@code spec} in the name of another operator right before the next change. */
    void raceOnce(String spec) {
        mRacingSpec = Optional.of(spec);
    }

    /** Removes all objects and restarts at version 1. */
    void clear() {
        mObjects.clear();
        mRevision = 0;
        mUnavailable = false;
    }

    void setUnavailable() {
        mUnavailable = true;
    }

    StoredObject write(ObjectKey key, String spec, String change) {
        StoredObject stored = new StoredObject(key, ++mRevision, new ChangeId(change), spec);
        mObjects.put(key, stored);
        return stored;
    }

    @Override
    public CompletableFuture<Either<Refusal, List<StoredObject>>> list(ObjectKind kind) {
        return read(
                mObjects.values().stream().filter(stored -> stored.key().kind() == kind).toList());
    }

    @Override
    public CompletableFuture<Either<Refusal, Optional<StoredObject>>> find(ObjectKey key) {
        return read(Optional.ofNullable(mObjects.get(key)));
    }

    @Override
    public CompletableFuture<Either<ChangeRefusal, StoredObject>> put(
            ObjectKey key, String spec, Precondition precondition, ChangeId change) {
        return changed(key, precondition, () -> write(key, spec, change.value()));
    }

    @Override
    public CompletableFuture<Either<ChangeRefusal, Long>> delete(
            ObjectKey key, Precondition precondition, ChangeId change) {
        return changed(
                key,
                precondition,
                () -> {
                    mObjects.remove(key);
                    return ++mRevision;
                });
    }

    private <T> CompletableFuture<Either<ChangeRefusal, T>> changed(
            ObjectKey key, Precondition precondition, java.util.function.Supplier<T> change) {
        mRacingSpec.ifPresent(spec -> write(key, spec, "racing"));
        mRacingSpec = Optional.empty();
        Optional<StoredObject> current = Optional.ofNullable(mObjects.get(key));
        OptionalLong version =
                current.map(stored -> OptionalLong.of(stored.version()))
                        .orElse(OptionalLong.empty());
        if (!version.equals(precondition.version())) {
            Refusal conflict = Refusal.of(RefusalReason.CONFLICT, key.path() + " has changed");
            return CompletableFuture.completedFuture(
                    Either.left(new ChangeRefusal(conflict, current)));
        }
        return CompletableFuture.completedFuture(Either.right(change.get()));
    }

    private <T> CompletableFuture<Either<Refusal, T>> read(T value) {
        return CompletableFuture.completedFuture(
                mUnavailable
                        ? Either.left(Refusal.of(RefusalReason.PLATFORM_AWAY, "no response"))
                        : Either.right(value));
    }
}
