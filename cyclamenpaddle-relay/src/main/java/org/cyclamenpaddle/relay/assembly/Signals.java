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

    /** Reads the settings again on SIGHUP, which would otherwise end the process. */
    public static void onReload(Runnable reload) {
        Signal.handle(new Signal("HUP"), signal -> new Thread(reload, "reload").start());
    }
}
