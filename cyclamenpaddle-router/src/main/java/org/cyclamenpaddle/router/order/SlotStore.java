package org.cyclamenpaddle.router.order;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.fleet.membership.IncarnationStatus;
import org.cyclamenpaddle.fleet.order.SharedSlots;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.ObjectStore;
import org.cyclamenpaddle.store.objects.StoredObject;
import org.cyclamenpaddle.store.objects.WritePrecondition;
import org.cyclamenpaddle.store.objects.WriteResult;

/** Acquires and releases shared slots by conditional updates in the platform. */
public final class SlotStore {

    private static final int ATTEMPT_LIMIT = 5;

    private final ObjectStore mStore;
    private final Incarnation mSelf;
    private final Function<Incarnation, IncarnationStatus> mStanding;

    /**
     * Creates the store.
     *
     * @param store the platform's object API
     * @param self this host
     * @param standing returns the standing of an incarnation
     */
    public SlotStore(
            ObjectStore store,
            Incarnation self,
            Function<Incarnation, IncarnationStatus> standing) {
        mStore = store;
        mSelf = self;
        mStanding = standing;
    }

    /** Acquires a slot; completes with whether it is held, false also if that is unknown. */
    CompletableFuture<Boolean> acquire(String path, BackendId engine, int limit) {
        return change(path, slots -> slots.acquire(engine, mSelf, limit, mStanding), ATTEMPT_LIMIT);
    }

    /** Releases a slot; completes with true only if this host certainly no longer holds it. */
    CompletableFuture<Boolean> release(String path, BackendId engine) {
        return change(path, slots -> Optional.of(slots.release(engine, mSelf)), ATTEMPT_LIMIT);
    }

    private CompletableFuture<Boolean> change(
            String path, Function<SharedSlots, Optional<SharedSlots>> step, int attemptsLeft) {
        return mStore.get(path)
                .thenCompose(
                        response ->
                                response.isRight()
                                        ? write(path, response.get(), step, attemptsLeft)
                                        : CompletableFuture.completedFuture(false));
    }

    private CompletableFuture<Boolean> write(
            String path,
            Optional<StoredObject> found,
            Function<SharedSlots, Optional<SharedSlots>> step,
            int attemptsLeft) {
        SharedSlots before =
                found.map(object -> SharedSlots.parse(object.value()).getOrElse(SharedSlots.EMPTY))
                        .orElse(SharedSlots.EMPTY);
        Optional<SharedSlots> after = step.apply(before);
        if (after.isEmpty() || after.get().equals(before)) {
            return CompletableFuture.completedFuture(after.isPresent());
        }
        WritePrecondition precondition =
                found.map(object -> WritePrecondition.atVersion(object.version()))
                        .orElseGet(WritePrecondition::absent);
        return mStore.put(path, after.get().text(), precondition)
                .thenCompose(response -> settle(response, path, step, attemptsLeft));
    }

    private CompletableFuture<Boolean> settle(
            Either<PlatformError, WriteResult> response,
            String path,
            Function<SharedSlots, Optional<SharedSlots>> step,
            int attemptsLeft) {
        boolean written = response.isRight() && response.get() instanceof WriteResult.Written;
        return written || response.isLeft() || attemptsLeft <= 1
                ? CompletableFuture.completedFuture(written)
                : change(path, step, attemptsLeft - 1);
    }
}
