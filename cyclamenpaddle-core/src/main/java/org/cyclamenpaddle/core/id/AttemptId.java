package org.cyclamenpaddle.core.id;

import java.util.Optional;

/**
 * Identity of one try of a request on one backend server; cancelling by it is idempotent.
 *
 * <p>It names the incarnation of the host that stands for it, so that the owner of a backend server
 * can tell from the engine's list alone which attempts no live host stands for.
 *
 * @param value text of the identifier, {@code <host>:<incarnation number>:<sequence>}
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

    public AttemptId {
        Identifiers.check("attempt", value);
    }

    /** Returns the id of the {@code sequence}th attempt of {@code holder}. */
    public static AttemptId of(Incarnation holder, long sequence) {
        return new AttemptId(holder + ":" + sequence);
    }

    /** Returns the incarnation that stands for this attempt; empty for an id of foreign form. */
    public Optional<Incarnation> holder() {
        int last = value.lastIndexOf(':');
        int middle = last < 0 ? -1 : value.lastIndexOf(':', last - 1);
        if (middle <= 0) {
            return Optional.empty();
        }
        try {
            long number = Long.parseLong(value.substring(middle + 1, last));
            return Optional.of(new Incarnation(new HostId(value.substring(0, middle)), number));
        } catch (IllegalArgumentException foreign) {
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
