package org.cyclamenpaddle.router.metric;

import java.util.function.DoubleSupplier;

/**
 * Suppliers of the values of the gauges; none may block.
 *
 * @param heldGrants decode slots granted in the ledgers that this host owns
 * @param requestsInFlight requests of callers in flight
 * @param configurationVersion highest configuration version in force here
 * @param configurationAgeSeconds time since the configuration was last confirmed, in seconds
 */
public record GaugeSources(
        DoubleSupplier heldGrants,
        DoubleSupplier requestsInFlight,
        DoubleSupplier configurationVersion,
        DoubleSupplier configurationAgeSeconds) {}
