package org.cyclamenpaddle.core.id;

/**
 * Incarnation of an entry host's process; each restart gets a greater number.
 *
 * @param host the host
 * @param number wall-clock milliseconds at process start; compared only for the same host
 */
public record Incarnation(HostId host, long number) {

    public Incarnation {
        if (host == null) {
            throw new IllegalArgumentException("incarnation needs a host");
        }
        if (number <= 0) {
            throw new IllegalArgumentException("incarnation number " + number + " must be above 0");
        }
    }

    /** Returns whether {@code other} is an earlier incarnation of the same host. */
    public boolean supersedes(Incarnation other) {
        return host.equals(other.host) && number > other.number;
    }

    @Override
    public String toString() {
        return host + ":" + number;
    }
}
