package org.cyclamenpaddle.store.objects;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cyclamenpaddle.store.http.PlatformError;

/** Store of one object in memory whose writes meet the faults that a test names. */
final class FaultyStore implements ObjectStore {

    static final String KEY = "config/preset/peak";

    /** What happens to a write. */
    enum Fault {
        NONE,
        /** It takes effect, and its answer is lost. */
        ANSWER_LOST,
        /** It is lost under way, which its sender can't know. */
        ASK_LOST,
        /** No connection comes about. */
        NOT_CONNECTED,
        /** The platform refuses it as malformed. */
        REFUSED
    }

    private final Supplier<Fault> mFaults;
    private final List<StoredObject> mHistory = new ArrayList<>();
    private Optional<StoredObject> mCurrent = Optional.empty();
    private long mRevision = 10;
    private int mWrites;

    FaultyStore(Supplier<Fault> faults) {
        mFaults = faults;
    }

    @Override
    public CompletableFuture<Either<PlatformError, WriteResult>> put(
            String key, String value, WritePrecondition precondition) {
        boolean holds =
                precondition instanceof WritePrecondition.AtVersion at
                        ? at(at.version())
                        : mCurrent.isEmpty();
        return write(holds, () -> Optional.of(new StoredObject(KEY, mRevision, value)));
    }

    @Override
    public CompletableFuture<Either<PlatformError, WriteResult>> delete(String key, long version) {
        return write(at(version), Optional::empty);
    }

    @Override
    public CompletableFuture<Either<PlatformError, Listing>> list(String prefix) {
        throw new UnsupportedOperationException("list");
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> get(String key) {
        throw new UnsupportedOperationException("get");
    }

    @Override
    public CompletableFuture<Either<PlatformError, WatchResult>> watch(
            String prefix, long afterRevision, long waitMillis) {
        throw new UnsupportedOperationException("watch");
    }

    Optional<StoredObject> current() {
        return mCurrent;
    }

    /** Every object that was ever written, oldest first. */
    List<StoredObject> history() {
        return mHistory;
    }

    int writes() {
        return mWrites;
    }

    private boolean at(long version) {
        return mCurrent.filter(object -> object.version() == version).isPresent();
    }

    private CompletableFuture<Either<PlatformError, WriteResult>> write(
            boolean holds, Supplier<Optional<StoredObject>> next) {
        mWrites++;
        Fault fault = mFaults.get();
        WriteResult result = new WriteResult.Conflict(mCurrent);
        if (holds && (fault == Fault.NONE || fault == Fault.ANSWER_LOST)) {
            mRevision++;
            mCurrent = next.get();
            mCurrent.ifPresent(mHistory::add);
            result = new WriteResult.Written(mRevision);
        }
        return CompletableFuture.completedFuture(answer(fault, result));
    }

    private static Either<PlatformError, WriteResult> answer(Fault fault, WriteResult result) {
        return switch (fault) {
            case NONE -> Either.right(result);
            case ANSWER_LOST, ASK_LOST -> Either.left(new PlatformError.TimedOut(1));
            case NOT_CONNECTED -> Either.left(new PlatformError.Unreachable("refused", false));
            case REFUSED -> Either.left(new PlatformError.Rejected(400, "no"));
        };
    }
}
