package org.cyclamenpaddle.router.order;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.fleet.order.FenceStatus;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.ObjectStore;
import org.cyclamenpaddle.store.objects.StoredObject;
import org.cyclamenpaddle.store.objects.WritePrecondition;
import org.cyclamenpaddle.store.objects.WriteResult;

/** Stores the status objects of engines, which hold their fencing tokens, in the platform. */
public final class FenceStore {

    private final ObjectStore mStore;

    /**
     * Creates the store.
     *
     * @param store the platform's object API
     */
    public FenceStore(ObjectStore store) {
        mStore = store;
    }

    /**
     * A status object as read.
     *
     * @param version its version; 0 if there is none
     * @param status its content; empty if it is absent or cannot be parsed
     */
    record Found(long version, Optional<FenceStatus> status) {}

    CompletableFuture<Either<PlatformError, Found>> read(BackendId engine) {
        return mStore.get(FenceStatus.path(engine.value()))
                .thenApply(response -> response.map(FenceStore::found));
    }

    /**
     * Writes a status object; completes with whether this write took effect, false also if that is
     * unknown.
     */
    CompletableFuture<Boolean> acquire(BackendId engine, long expectedVersion, FenceStatus status) {
        WritePrecondition precondition =
                expectedVersion == 0
                        ? WritePrecondition.absent()
                        : WritePrecondition.atVersion(expectedVersion);
        return mStore.put(FenceStatus.path(engine.value()), status.text(), precondition)
                .thenApply(
                        response ->
                                response.isRight()
                                        && response.get() instanceof WriteResult.Written);
    }

    private static Found found(Optional<StoredObject> object) {
        return new Found(
                object.map(StoredObject::version).orElse(0L),
                object.flatMap(o -> FenceStatus.parse(o.value()).toJavaOptional()));
    }
}
