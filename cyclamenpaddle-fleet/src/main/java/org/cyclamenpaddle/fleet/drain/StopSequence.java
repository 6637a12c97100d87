package org.cyclamenpaddle.fleet.drain;

import java.util.List;

/**
 * Planned stop of an entry host, which cuts off no request in flight.
 *
 * <p>Not thread-safe. Every event returns the effects to carry out, in order.
 */
public final class StopSequence {

    private final StopSettings mSettings;
    private StopStage mStage = StopStage.RUNNING;
    private long mEnteredMillis;

    /**
     * Creates the sequence of a host in full service.
     *
     * @param settings timings
     */
    public StopSequence(StopSettings settings) {
        mSettings = settings;
    }

    /**
     * Starts the stop; a further signal changes nothing.
     *
     * @param nowMillis reading of this host's clock
     */
    public List<StopEffect> onSignal(long nowMillis) {
        // Service managers and people send the signal again when a stop takes long. Taking that
        // for haste would cut off the very requests that it takes long for.
        return mStage == StopStage.RUNNING ? enter(StopStage.NOT_READY, nowMillis) : List.of();
    }

    /**
     * Goes on if the present stage is done.
     *
     * @param inFlight requests, calls and cancels not yet ended on this host
     * @param nowMillis reading of this host's clock
     */
    public List<StopEffect> tick(int inFlight, long nowMillis) {
        long spent = nowMillis - mEnteredMillis;
        return switch (mStage) {
            case NOT_READY -> when(spent >= mSettings.notReadyMillis(), nowMillis);
            case DRAINING -> when(inFlight == 0, nowMillis);
            case HANDING_OVER ->
                    when(inFlight == 0 && spent >= mSettings.handOverMillis(), nowMillis);
            default -> List.of();
        };
    }

    /** Returns the present stage. */
    public StopStage stage() {
        return mStage;
    }

    private List<StopEffect> when(boolean done, long nowMillis) {
        return done ? enter(StopStage.values()[mStage.ordinal() + 1], nowMillis) : List.of();
    }

    private List<StopEffect> enter(StopStage stage, long nowMillis) {
        mStage = stage;
        mEnteredMillis = nowMillis;
        return List.of(new StopEffect.Entered(stage));
    }
}
