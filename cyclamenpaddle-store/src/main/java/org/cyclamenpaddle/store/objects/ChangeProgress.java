package org.cyclamenpaddle.store.objects;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.cyclamenpaddle.store.http.PlatformError;

/**
 * Decides after each try of a change whether it is settled; immutable.
 *
 * @param triesLeft how often the write may still be sent
 * @param lostAnswer the first error after which an earlier try may have taken effect
 */
record ChangeProgress(int triesLeft, Optional<PlatformError> lostAnswer) {

    /** What to do next: send again with this progress, or end with this outcome. */
    record Step(
            Optional<ChangeProgress> again, Optional<Either<PlatformError, ChangeResult>> outcome) {
        private static Step end(Either<PlatformError, ChangeResult> outcome) {
            return new Step(Optional.empty(), Optional.of(outcome));
        }
    }

    static ChangeProgress start(int tries) {
        return new ChangeProgress(tries, Optional.empty());
    }

    /**
     * Returns the next step.
     *
     * @param answer the answer to the try just made
     * @param own whether an object as it stands, or its absence, is the work of this change; asked
     *     only after an answer was lost
     */
    Step after(Either<PlatformError, WriteResult> answer, Predicate<Optional<StoredObject>> own) {
        if (answer.isLeft()) {
            return afterError(answer.getLeft());
        }
        if (answer.get() instanceof WriteResult.Written written) {
            return accepted(OptionalLong.of(written.version()));
        }
        Optional<StoredObject> current = ((WriteResult.Conflict) answer.get()).current();
        // Failure: a try takes effect, its answer is lost, and the next try meets a conflict with
        // it; the operator would be told that they lost against themselves. The change id in the
        // object settles it, since no other change bears it.
        if (lostAnswer.isPresent() && own.test(current)) {
            return accepted(
                    current.map(object -> OptionalLong.of(object.version()))
                            .orElseGet(OptionalLong::empty));
        }
        return Step.end(Either.right(new ChangeResult.Conflict(current, lostAnswer.isPresent())));
    }

    private Step afterError(PlatformError error) {
        Optional<PlatformError> lost =
                lostAnswer.or(() -> Optional.of(error).filter(PlatformError::mayHaveTakenEffect));
        boolean refused = error instanceof PlatformError.Rejected && !error.mayHaveTakenEffect();
        return refused || triesLeft <= 1
                ? Step.end(Either.left(lost.orElse(error)))
                : new Step(Optional.of(new ChangeProgress(triesLeft - 1, lost)), Optional.empty());
    }

    private static Step accepted(OptionalLong version) {
        return Step.end(Either.right(new ChangeResult.Accepted(version)));
    }
}
