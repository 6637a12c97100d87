package org.cyclamenpaddle.core.message;

/** What one host believes of another. */
public enum HostState {
    /** Heard of lately. */
    ALIVE,
    /** Silent; being confirmed through others and by a new connection. */
    SUSPECT,
    /** Going through a planned stop; still answers, owns nothing. */
    LEAVING,
    /** Confirmed silent, or left. */
    DEAD
}
