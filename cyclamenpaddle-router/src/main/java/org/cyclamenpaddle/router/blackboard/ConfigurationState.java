package org.cyclamenpaddle.router.blackboard;

import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.invariant.Invariants;

/** The configuration in force on this host, parsed. */
public final class ConfigurationState {

    private ConfigurationView mView = ConfigurationView.EMPTY;
    private long mInForceVersion;
    private long mDigest;
    private long mConfirmedAt;

    /** Returns the view. */
    public ConfigurationView view() {
        return mView;
    }

    /** Returns the version of the object that names the preset in force; 0 if none. */
    public long inForceVersion() {
        return mInForceVersion;
    }

    /** Returns the digest of the replica that the view was parsed from. */
    public long digest() {
        return mDigest;
    }

    /** Returns when the platform or a peer last confirmed the configuration. */
    public long confirmedAt() {
        return mConfirmedAt;
    }

    /** Puts a newer view in force. */
    public void apply(ConfigurationView view, long inForceVersion, long digest) {
        Invariants.require(
                inForceVersion >= mInForceVersion,
                () ->
                        "preset in force went back from "
                                + mInForceVersion
                                + " to "
                                + inForceVersion);
        mView = view;
        mInForceVersion = inForceVersion;
        mDigest = digest;
    }

    /** Notes that the configuration was confirmed. */
    public void confirm(long now) {
        mConfirmedAt = now;
    }
}
