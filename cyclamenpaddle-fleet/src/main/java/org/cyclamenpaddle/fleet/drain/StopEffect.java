package org.cyclamenpaddle.fleet.drain;

/** Actions that the process performs on behalf of {@link StopSequence}. */
public sealed interface StopEffect {

    /**
     * Enter a stage.
     *
     * <p>On {@link StopStage#HANDING_OVER} leave the membership and hand over the ledgers; on
     * {@link StopStage#STOPPED} exit.
     *
     * @param stage the stage entered
     */
    record Entered(StopStage stage) implements StopEffect {}
}
