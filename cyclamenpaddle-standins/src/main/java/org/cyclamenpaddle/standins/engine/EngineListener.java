package org.cyclamenpaddle.standins.engine;

/** Callbacks from the prefill and decode units to their engine. */
interface EngineListener {

    /** Called when used slots, used memory or the prefill queue changed. */
    void loadChanged();

    /** Called when a crash marker was reached; the engine crashes now. */
    void crashed();
}
