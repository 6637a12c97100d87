package org.cyclamenpaddle.store.objects;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cyclamenpaddle.store.http.PlatformError;

/** In-memory store of one object that injects faults into its writes. */
final class FaultyStore implements ObjectStore {

    static final String KEY = "config/preset/peak";

    /** Fault of a write. */
    enum Fault {
        NONE,
        /** The write takes effect, and its response is lost. */
        RESPONSE_LOST,
        /**
         * The request is lost in flight, which the sender can't distinguish from a lost response.
         */
        REQUEST_LOST,
        /** No connection is established. */
        NOT_CONNECTED,
        /** The platform rejects the write as malformed. */
        REJECTED
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
        boolean satisfied =
                precondition instanceof WritePrecondition.AtVersion at
                        ? at(at.version())
                        : mCurrent.isEmpty();
        return write(satisfied, () -> Optional.of(new StoredObject(KEY, mRevision, value)));
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

    /** Every object ever written, oldest first. */
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
            boolean satisfied, Supplier<Optional<StoredObject>> next) {
        mWrites++;
        Fault fault = mFaults.get();
        WriteResult result = new WriteResult.Conflict(mCurrent);
        if (satisfied && (fault == Fault.NONE || fault == Fault.RESPONSE_LOST)) {
            mRevision++;
            mCurrent = next.get();
            mCurrent.ifPresent(mHistory::add);
            result = new WriteResult.Written(mRevision);
        }
        return CompletableFuture.completedFuture(toResponse(fault, result));
    }

    private static Either<PlatformError, WriteResult> toResponse(Fault fault, WriteResult result) {
        return switch (fault) {
            case NONE -> Either.right(result);
            case RESPONSE_LOST, REQUEST_LOST -> Either.left(new PlatformError.TimedOut(1));
            case NOT_CONNECTED -> Either.left(new PlatformError.Unreachable("refused", false));
            case REJECTED -> Either.left(new PlatformError.Rejected(400, "no"));
        };
    }
}
