package org.cyclamenpaddle.core.id;

/**
 * Version of the software that a backend server runs.
 *
 * <p>Versions have no order. What two versions write for one stream does not fit together.
 *
 * @param value text of the version, up to 128 characters; empty for a server that reports none
 */
public record SoftwareVersion(String value) {

    /** Version of the servers that report none, which are all of one version. */
    public static final SoftwareVersion UNSPECIFIED = new SoftwareVersion("");

    private static final int MAX_LENGTH = 128;

    public SoftwareVersion {
        if (value == null || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "software version must be a text of up to " + MAX_LENGTH + " characters");
        }
    }

    // Written out, because linking the generated methods costs processor time at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof SoftwareVersion that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    /** Returns the version as written in logs. */
    @Override
    public String toString() {
        return value.isEmpty() ? "unspecified" : value;
    }
}
