package org.cyclamenpaddle.relay.assembly;

import sun.misc.Signal;

/** Reacts to the signals by which a service manager steers a process. */
public final class Signals {

    private static final int EXIT_OK = 0;

    private Signals() {}

    /**
     * Runs a planned stop on SIGTERM and SIGINT, then ends the process.
     *
     * <p>A shutdown hook would not do: hooks of libraries run beside it and close what requests in
     * flight still need. The process is halted at the end, since nothing is left to be saved and an
     * orderly exit waits for threads that wait for the network.
     *
     * @param stop returns when the process may end
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
     * Keeps SIGHUP from ending a process that cannot read its settings again yet.
     *
     * <p>Safeguard: a process that has just been started may be told that its settings have changed
     * a second before it has read them. Without a handler it would end at once. Nothing is missed:
     * the settings are read after this, and again every few seconds.
     */
    public static void ignoreReload() {
        Signal.handle(new Signal("HUP"), signal -> {});
    }

    /** Reads the settings again on SIGHUP, which would otherwise end the process. */
    public static void onReload(Runnable reload) {
        Signal.handle(new Signal("HUP"), signal -> new Thread(reload, "reload").start());
    }
}
