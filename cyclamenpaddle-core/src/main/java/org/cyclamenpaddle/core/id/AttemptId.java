package org.cyclamenpaddle.core.id;

import java.util.Optional;

/**
 * Identifier of one attempt to run a request on one backend server; cancelling by it is idempotent.
 *
 * <p>The identifier contains the incarnation of the host that started the attempt, so that the
 * owner of a backend server can recognize orphaned attempts from the engine's list alone.
 *
 * @param value text of the identifier, {@code <host>:<incarnation number>:<sequence>}
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

    public AttemptId {
        Identifiers.check("attempt", value);
    }

    /** Returns the identifier of the {@code sequence}th attempt of {@code holder}. */
    public static AttemptId of(Incarnation holder, long sequence) {
        return new AttemptId(holder + ":" + sequence);
    }

    /**
     * Returns the incarnation that started this attempt; empty if the identifier has another
     * format.
     */
    public Optional<Incarnation> holder() {
        int lastColon = value.lastIndexOf(':');
        int middleColon = lastColon < 0 ? -1 : value.lastIndexOf(':', lastColon - 1);
        if (middleColon <= 0) {
            return Optional.empty();
        }
        try {
            long number = Long.parseLong(value.substring(middleColon + 1, lastColon));
            return Optional.of(
                    new Incarnation(new HostId(value.substring(0, middleColon)), number));
        } catch (IllegalArgumentException otherFormat) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
