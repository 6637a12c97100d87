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

/** Shared slots, changed in the platform by conditional updates. */
public final class SlotStore {

    private static final int TRIES = 5;

    private final ObjectStore mStore;
    private final Incarnation mSelf;
    private final Function<Incarnation, IncarnationStatus> mStanding;

    /**
     * Creates the store.
     *
     * @param store the platform's object API
     * @param self this host
     * @param standing what is known of an incarnation
     */
    public SlotStore(
            ObjectStore store,
            Incarnation self,
            Function<Incarnation, IncarnationStatus> standing) {
        mStore = store;
        mSelf = self;
        mStanding = standing;
    }

    /** Returns whether the slot is held now; false also if that is not known. */
    CompletableFuture<Boolean> acquire(String path, BackendId engine, int limit) {
        return change(path, slots -> slots.acquire(engine, mSelf, limit, mStanding), TRIES);
    }

    /** Returns whether the slot is surely not held by this host any more. */
    CompletableFuture<Boolean> release(String path, BackendId engine) {
        return change(path, slots -> Optional.of(slots.release(engine, mSelf)), TRIES);
    }

    private CompletableFuture<Boolean> change(
            String path, Function<SharedSlots, Optional<SharedSlots>> step, int tries) {
        return mStore.get(path)
                .thenCompose(
                        answer ->
                                answer.isRight()
                                        ? write(path, answer.get(), step, tries)
                                        : CompletableFuture.completedFuture(false));
    }

    private CompletableFuture<Boolean> write(
            String path,
            Optional<StoredObject> found,
            Function<SharedSlots, Optional<SharedSlots>> step,
            int tries) {
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
                .thenCompose(answer -> settle(answer, path, step, tries));
    }

    private CompletableFuture<Boolean> settle(
            Either<PlatformError, WriteResult> answer,
            String path,
            Function<SharedSlots, Optional<SharedSlots>> step,
            int tries) {
        boolean written = answer.isRight() && answer.get() instanceof WriteResult.Written;
        return written || answer.isLeft() || tries <= 1
                ? CompletableFuture.completedFuture(written)
                : change(path, step, tries - 1);
    }
}
