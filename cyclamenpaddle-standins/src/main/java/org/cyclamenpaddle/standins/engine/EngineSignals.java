package org.cyclamenpaddle.standins.engine;

/** What the parts of an engine tell the whole. */
interface EngineSignals {

    /** Says that slots, pieces or queue changed. */
    void changed();

    /** Says that the engine crashes now. */
    void crash();
}
