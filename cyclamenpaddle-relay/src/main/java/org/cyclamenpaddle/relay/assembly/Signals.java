package org.cyclamenpaddle.relay.assembly;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Handles the signals of a service manager. */
public final class Signals {

    private static final int EXIT_OK = 0;

    private Signals() {}

    /**
     * Runs a planned stop on SIGTERM and SIGINT, then halts the process. To be called before
     * anything is served, since the signal may come while the process still starts.
     *
     * <p>A shutdown hook is not used: hooks of libraries run concurrently with it and close
     * resources that requests in flight still need. The process is halted at the end, since nothing
     * remains to be saved and an orderly exit would wait for threads that wait for the network.
     *
     * @param stop planned stop; returns when the process may end
     */
    public static void onStop(Runnable stop) {
        Runnable stopAndEnd =
                () -> {
                    stop.run();
                    Runtime.getRuntime().halt(EXIT_OK);
                };
        Signal.handle(new Signal("TERM"), signal -> new Thread(stopAndEnd, "stop").start());
        Signal.handle(new Signal("INT"), signal -> new Thread(stopAndEnd, "stop").start());
    }

    /**
     * Ignores SIGHUP until the settings can be reloaded.
     *
     * <p>Safeguard: a process that has just started may receive the signal for changed settings a
     * second before it has read them, and without a handler it would end at once. No change is
     * missed: the settings are read after this call, and again every few seconds.
     */
    public static void ignoreReload() {
        Signal.handle(new Signal("HUP"), new Ignored());
    }

    /** Not a lambda: the Java machine needs tens of milliseconds at its start to create one. */
    private static final class Ignored implements SignalHandler {

        @Override
        public void handle(Signal signal) {
            // The settings are read after the start.
        }
    }

    /** Reloads the settings on SIGHUP, which would otherwise end the process. */
    public static void onReload(Runnable reload) {
        Signal.handle(new Signal("HUP"), signal -> new Thread(reload, "reload").start());
    }
}
