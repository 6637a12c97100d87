package org.cyclamenpaddle.relay.front;

import java.util.Optional;
import org.cyclamenpaddle.relay.route.RelayConfiguration;

/** The configuration in force, and whether the store still confirms it; safe for many threads. */
public final class ConfigurationCell {

    private volatile Optional<RelayConfiguration> mInForce = Optional.empty();
    private volatile boolean mConfirmed;

    /** Returns the configuration in force; empty before the first one. */
    public Optional<RelayConfiguration> inForce() {
        return mInForce;
    }

    /** Returns the version in force; 0 before the first one. */
    public long version() {
        return mInForce.map(RelayConfiguration::version).orElse(0L);
    }

    /** Returns whether the store has confirmed it, or would have sent a newer one. */
    public boolean confirmed() {
        return mConfirmed;
    }

    /** Notes whether the store can be heard. */
    public void confirmed(boolean confirmed) {
        mConfirmed = confirmed;
    }

    /**
     * Puts a configuration in force unless it is older than the one that is.
     *
     * <p>Safeguard: a delayed answer of the store can bring an older version after a newer one, and
     * requests would go back to services that they had left.
     *
     * @return whether it is in force now
     */
    public synchronized boolean offer(RelayConfiguration offered) {
        if (mInForce.map(old -> old.version() >= offered.version()).orElse(false)) {
            return false;
        }
        mInForce = Optional.of(offered);
        return true;
    }
}
