package org.cyclamenpaddle.fleet.drain;

/** What the process has to do on behalf of {@link StopSequence}. */
public sealed interface StopEffect {

    /**
     * Act by a stage from now on.
     *
     * <p>On {@link StopStage#HANDING_OVER} leave the membership and send the ledgers away; on
     * {@link StopStage#STOPPED} exit.
     *
     * @param stage the stage entered
     */
    record Entered(StopStage stage) implements StopEffect {}
}
