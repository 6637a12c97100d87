package org.cyclamenpaddle.relay.wire;

/**
 * A generation that an engine has stopped so that it goes on from its memory.
 *
 * @param handle names the memory
 * @param copied whether the other engine has the copy; else only the source has it
 */
public record MovedRun(PromptHandle handle, boolean copied) {

    public MovedRun {
        if (handle == null) {
            throw new IllegalArgumentException("a moved generation needs a handle");
        }
    }
}
