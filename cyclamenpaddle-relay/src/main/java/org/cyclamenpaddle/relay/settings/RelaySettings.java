package org.cyclamenpaddle.relay.settings;

import java.util.Optional;
import org.cyclamenpaddle.routing.buffer.ByteBounds;
import org.cyclamenpaddle.routing.limit.QuotaBounds;

/**
 * Settings of a relay process.
 *
 * @param host identity of this host
 * @param listen listen addresses
 * @param store address of the store of configuration and backend servers
 * @param stop timing of a planned stop
 * @param retry retry budget shared by all hosts
 * @param quota bounds of the quotas shared by all hosts
 * @param bytes bounds of the bytes that this host holds
 */
public record RelaySettings(
        Host host,
        Listen listen,
        Store store,
        Stop stop,
        Retry retry,
        QuotaBounds quota,
        ByteBounds bytes) {

    private static final double MILLIS_PER_SECOND = 1_000;

    public RelaySettings {
        required("host", host);
        required("listen", listen);
        required("store", store);
        required("stop", stop);
        required("retry", retry);
        required("quota", quota);
        required("bytes", bytes);
    }

    /**
     * Identity of this host.
     *
     * @param name unique name among the hosts
     * @param domain failure domain of the host
     */
    public record Host(String name, String domain) {
        public Host {
            required("host.name", name);
            required("host.domain", domain);
        }
    }

    /**
     * Listen addresses of the process.
     *
     * @param callers address for callers
     * @param checks address for the load balancer's readiness check and for metrics
     * @param peers address for the messages between hosts
     * @param requests address for requests that other hosts hand over; empty to take none
     */
    public record Listen(
            Endpoint callers, Endpoint checks, Endpoint peers, Optional<Endpoint> requests) {
        public Listen {
            required("listen.callers", callers);
            required("listen.checks", checks);
            required("listen.peers", peers);
            required("listen.requests", requests);
        }
    }

    /**
     * Address of the store.
     *
     * @param address IP number with a port
     */
    public record Store(Endpoint address) {
        public Store {
            required("store.address", address);
        }
    }

    /**
     * Timing of a planned stop.
     *
     * @param graceSeconds time from the signal after which the process is killed
     */
    public record Stop(double graceSeconds) {
        public Stop {
            inRange("stop.graceSeconds", graceSeconds > 0, "above 0");
        }

        /** Returns the time from the signal after which the process is killed. */
        public long graceMillis() {
            return Math.round(graceSeconds * MILLIS_PER_SECOND);
        }
    }

    /**
     * Retry budget shared by all hosts.
     *
     * @param share retries per request of a service, over all hosts
     * @param slack additional retries per window, over all hosts
     * @param windowSeconds length of the window
     */
    public record Retry(double share, double slack, double windowSeconds) {
        public Retry {
            inRange("retry.share", share >= 0 && share <= 1, "from 0 to 1");
            inRange("retry.slack", slack >= 0, "0 or more");
            inRange("retry.windowSeconds", windowSeconds > 0, "above 0");
        }

        /** Returns the length of the window. */
        public long windowMillis() {
            return Math.round(windowSeconds * MILLIS_PER_SECOND);
        }
    }

    private static void inRange(String key, boolean holds, String range) {
        if (!holds) {
            throw new IllegalArgumentException(key + " must be " + range);
        }
    }

    private static void required(String key, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(key + " is missing");
        }
    }
}
