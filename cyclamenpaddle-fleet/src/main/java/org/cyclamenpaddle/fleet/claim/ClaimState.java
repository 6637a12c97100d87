package org.cyclamenpaddle.fleet.claim;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.cyclamenpaddle.core.outcome.RunOutcome;

/**
 * State of a claim as the platform keeps it.
 *
 * <p>Only the attempt that holds a claim ever changes its state. {@link #NOT_RUN} is the one state
 * that frees the key, and a holder writes it only after it has decided never to dispatch. So a
 * holder that was paused finds its claim as it left it, however long the pause.
 */
public enum ClaimState {
    /** The holder may dispatch, or has dispatched. */
    CLAIMED(Optional.empty()),
    /** The call ran and was answered. */
    RAN(Optional.of(RunOutcome.RAN)),
    /** Provably no byte left and none ever will; the key may be claimed anew. */
    NOT_RUN(Optional.of(RunOutcome.NOT_RUN)),
    /** The call may have run. */
    UNKNOWN(Optional.of(RunOutcome.UNKNOWN));

    private final Optional<RunOutcome> mOutcome;

    ClaimState(Optional<RunOutcome> outcome) {
        mOutcome = outcome;
    }

    /** Returns what became of the call; empty while that is open. */
    public Optional<RunOutcome> outcome() {
        return mOutcome;
    }

    /** Returns whether another attempt may claim the key. */
    public boolean releasesKey() {
        return this == NOT_RUN;
    }

    /** Returns whether the holder may change this state to {@code next}. */
    public boolean canTransitionTo(ClaimState next) {
        return this == CLAIMED ? next != CLAIMED : this == UNKNOWN && next == RAN;
    }

    /** Returns the form used in documents. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the state whose {@link #code()} is {@code code}. */
    public static Optional<ClaimState> fromCode(String code) {
        return Arrays.stream(values()).filter(state -> state.code().equals(code)).findFirst();
    }
}
