package org.cyclamenpaddle.fleet.order;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.Optional;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;

/**
 * Fencing status of a backend server, stored in its status object in the platform.
 *
 * @param fence fencing token; increases with each conditional update of the object
 * @param holder the incarnation that may send orders
 * @param settled whether orders of earlier holders can no longer arrive
 */
public record FenceStatus(long fence, Incarnation holder, boolean settled) {

    private static final String FORMAT = "fence-1";
    private static final int FIELDS = 5;

    public FenceStatus {
        if (fence <= 0 || holder == null) {
            throw new IllegalArgumentException(
                    "fence status needs a fence above 0 and a holder: fence "
                            + fence
                            + " of "
                            + holder);
        }
    }

    /** Returns the key of a backend server's status object in the platform. */
    public static String path(String backend) {
        return "status/fence/" + backend;
    }

    /** Returns the text stored in the platform. */
    public String text() {
        return String.join(
                " ",
                FORMAT,
                Long.toString(fence),
                holder.host().value(),
                Long.toString(holder.number()),
                Boolean.toString(settled));
    }

    /** Parses a status, or returns a description of the error. */
    public static Either<String, FenceStatus> parse(String text) {
        String[] fields = text.split(" ", -1);
        if (fields.length != FIELDS || !fields[0].equals(FORMAT)) {
            return Either.left("fence status '" + text + "' is not of format " + FORMAT);
        }
        return Try.of(() -> of(fields))
                .toEither()
                .mapLeft(e -> "fence status '" + text + "' is malformed: " + e.getMessage());
    }

    /** Returns the status with which {@code taker} replaces {@code previous}. */
    static FenceStatus after(
            Optional<FenceStatus> previous, long reported, Incarnation taker, boolean settled) {
        long last = Math.max(previous.map(FenceStatus::fence).orElse(0L), reported);
        return new FenceStatus(last + 1, taker, settled);
    }

    private static FenceStatus of(String[] fields) {
        Incarnation holder = new Incarnation(new HostId(fields[2]), Long.parseLong(fields[3]));
        return new FenceStatus(Long.parseLong(fields[1]), holder, Boolean.parseBoolean(fields[4]));
    }
}
