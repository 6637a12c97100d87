package org.cyclamenpaddle.relay.wire;

import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * Response of an engine to a request for a reservation.
 *
 * @param name name of the reservation; empty if the engine has too little free memory
 * @param startedMillis wall clock time at which the engine reports to have started; empty if it
 *     does not say
 */
public record Reservation(Optional<String> name, OptionalLong startedMillis) {

    /** Response of an engine with too little free memory. */
    public static final Reservation DENIED =
            new Reservation(Optional.empty(), OptionalLong.empty());

    /** Returns whether the incarnation that an entry describes has responded, as far as known. */
    public boolean isFrom(Backend engine) {
        return startedMillis.isEmpty()
                || engine.startedMillis() == 0
                || startedMillis.getAsLong() == engine.startedMillis();
    }
}
