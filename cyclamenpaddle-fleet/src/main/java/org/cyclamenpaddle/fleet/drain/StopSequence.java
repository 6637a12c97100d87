package org.cyclamenpaddle.fleet.drain;

import java.util.List;

/**
 * Planned stop of an entry host, which lets requests in flight complete.
 *
 * <p>Not thread-safe. Every event returns the effects to perform, in order.
 */
public final class StopSequence {

    private final StopSettings mSettings;
    private StopStage mStage = StopStage.RUNNING;
    private long mEnteredMillis;

    /**
     * Creates the stop sequence of a running host.
     *
     * @param settings timings
     */
    public StopSequence(StopSettings settings) {
        mSettings = settings;
    }

    /**
     * Starts the planned stop; repeated signals have no effect.
     *
     * @param nowMillis reading of this host's clock
     */
    public List<StopEffect> onSignal(long nowMillis) {
        // Service managers and operators resend the signal when a stop takes long. Treating that as
        // a forced stop would abort the requests that the stop is waiting for.
        return mStage == StopStage.RUNNING ? enter(StopStage.NOT_READY, nowMillis) : List.of();
    }

    /**
     * Advances to the next stage if the current one is complete.
     *
     * @param inFlight number of requests, calls and cancellations in flight on this host
     * @param nowMillis reading of this host's clock
     */
    public List<StopEffect> tick(int inFlight, long nowMillis) {
        long elapsedMillis = nowMillis - mEnteredMillis;
        return switch (mStage) {
            case NOT_READY -> advanceIf(elapsedMillis >= mSettings.notReadyMillis(), nowMillis);
            case DRAINING -> advanceIf(inFlight == 0, nowMillis);
            case HANDING_OVER ->
                    advanceIf(
                            inFlight == 0 && elapsedMillis >= mSettings.handOverMillis(),
                            nowMillis);
            default -> List.of();
        };
    }

    /** Returns the current stage. */
    public StopStage stage() {
        return mStage;
    }

    private List<StopEffect> advanceIf(boolean done, long nowMillis) {
        return done ? enter(StopStage.values()[mStage.ordinal() + 1], nowMillis) : List.of();
    }

    private List<StopEffect> enter(StopStage stage, long nowMillis) {
        mStage = stage;
        mEnteredMillis = nowMillis;
        return List.of(new StopEffect.Entered(stage));
    }
}
