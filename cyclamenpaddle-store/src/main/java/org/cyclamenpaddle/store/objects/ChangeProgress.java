package org.cyclamenpaddle.store.objects;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.cyclamenpaddle.store.http.PlatformError;

/**
 * State of a conditional change over its attempts: decides after each one whether the outcome is
 * known. Immutable.
 *
 * @param attemptsLeft how many more times the write may be sent
 * @param lostResponse the first error of an attempt that may have taken effect
 */
record ChangeProgress(int attemptsLeft, Optional<PlatformError> lostResponse) {

    /** Next step: retry with this progress, or complete with this outcome. */
    record Step(
            Optional<ChangeProgress> retry, Optional<Either<PlatformError, ChangeResult>> outcome) {
        private static Step end(Either<PlatformError, ChangeResult> outcome) {
            return new Step(Optional.empty(), Optional.of(outcome));
        }
    }

    static ChangeProgress start(int attempts) {
        return new ChangeProgress(attempts, Optional.empty());
    }

    /**
     * Returns the next step.
     *
     * @param result the result of the last attempt
     * @param own tests whether the current object, or its absence, results from this change; used
     *     only after a response was lost
     */
    Step after(Either<PlatformError, WriteResult> result, Predicate<Optional<StoredObject>> own) {
        if (result.isLeft()) {
            return afterError(result.getLeft());
        }
        if (result.get() instanceof WriteResult.Written written) {
            return accepted(OptionalLong.of(written.version()));
        }
        Optional<StoredObject> current = ((WriteResult.Conflict) result.get()).current();
        // If an attempt takes effect and its response is lost, the retry conflicts with it, and the
        // operator would see a conflict with their own change. The change id in the object resolves
        // this, since it is unique to the change.
        if (lostResponse.isPresent() && own.test(current)) {
            return accepted(
                    current.map(object -> OptionalLong.of(object.version()))
                            .orElseGet(OptionalLong::empty));
        }
        return Step.end(Either.right(new ChangeResult.Conflict(current, lostResponse.isPresent())));
    }

    private Step afterError(PlatformError error) {
        Optional<PlatformError> lostError =
                lostResponse.or(() -> Optional.of(error).filter(PlatformError::mayHaveTakenEffect));
        boolean rejected = error instanceof PlatformError.Rejected && !error.mayHaveTakenEffect();
        return rejected || attemptsLeft <= 1
                ? Step.end(Either.left(lostError.orElse(error)))
                : new Step(
                        Optional.of(new ChangeProgress(attemptsLeft - 1, lostError)),
                        Optional.empty());
    }

    private static Step accepted(OptionalLong version) {
        return Step.end(Either.right(new ChangeResult.Accepted(version)));
    }
}
