package org.cyclamenpaddle.relay.front;

import java.util.Optional;
import org.cyclamenpaddle.relay.route.RelayConfiguration;

/** Holds the configuration in force and whether the store still confirms it. Thread-safe. */
public final class ConfigurationCell {

    private volatile Optional<RelayConfiguration> mInForce = Optional.empty();
    private volatile boolean mConfirmed;

    /** Returns the configuration in force; empty before the first configuration. */
    public Optional<RelayConfiguration> inForce() {
        return mInForce;
    }

    /** Returns the version in force; 0 before the first configuration. */
    public long version() {
        return mInForce.map(RelayConfiguration::version).orElse(0L);
    }

    /** Returns whether the store confirms that no newer configuration exists. */
    public boolean confirmed() {
        return mConfirmed;
    }

    /** Sets whether the store confirms the configuration in force. */
    public void confirmed(boolean confirmed) {
        mConfirmed = confirmed;
    }

    /**
     * Puts a configuration in force if its version is higher than the current one.
     *
     * <p>Safeguard: a delayed response of the store can deliver an older version after a newer one,
     * and requests would be routed to services that are no longer configured.
     *
     * @return whether the configuration was put in force
     */
    public synchronized boolean offer(RelayConfiguration offered) {
        if (mInForce.map(current -> current.version() >= offered.version()).orElse(false)) {
            return false;
        }
        mInForce = Optional.of(offered);
        return true;
    }
}
