package org.cyclamenpaddle.relay.assembly;

import org.cyclamenpaddle.http.UnusedTls;

/** Configures the libraries of a relay's process. */
public final class LibraryConfiguration {

    /** Divisor that yields the limit of direct memory from the maximum heap size. */
    private static final long DIRECT_MEMORY_DIVISOR = 2;

    private static final String NO_MACHINE_ID = "00:00:00:00:00:00:00:01";

    private LibraryConfiguration() {}

    /**
     * Disables features of libraries that a process without encryption and without disk access does
     * not use. Has to be called before the first use of a library.
     */
    public static void apply() {
        // Armeria would otherwise use io_uring where available, which our users rule out.
        System.setProperty("com.linecorp.armeria.transportType", "nio");
        // A single event loop: whether a request was sent is read from the library's request log,
        // which only the sending event loop may read without a race.
        System.setProperty("com.linecorp.armeria.numCommonWorkers", "1");
        // Avoids a native library, and with it crashes that leave no log line.
        System.setProperty("com.linecorp.armeria.tlsEngineType", "JDK");
        // Limits direct buffers in proportion to the heap, which is sized by the host's memory.
        System.setProperty(
                "io.netty.maxDirectMemory",
                String.valueOf(Runtime.getRuntime().maxMemory() / DIRECT_MEMORY_DIVISOR));
        // Skips the search for native transports, which are not used.
        System.setProperty("io.netty.transport.noNative", "true");
        // Skips reading the versions of Netty's parts from its jar files; the build fixes them.
        System.setProperty("com.linecorp.armeria.warnNettyVersions", "false");
        // Used for channel ids in the library's logs; otherwise each start scans the network
        // interfaces.
        System.setProperty("io.netty.machineId", NO_MACHINE_ID);
        // Flight recorder events would be registered at each start, although nothing records them.
        System.setProperty("io.netty.jfr.enabled", "false");
        // No connection is encrypted, so no certificate has to be trusted. Java's default trust
        // store would be read at each start, while callers wait.
        System.setProperty("javax.net.ssl.trustStore", "NONE");
        UnusedTls.install();
        // JSON mappers create a calendar, for which Java would load the CLDR's locale data. The far
        // smaller data of the JDK's base module suffices.
        System.setProperty("java.locale.providers", "COMPAT");
    }
}
