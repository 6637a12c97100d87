package org.cyclamenpaddle.fleet.order;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.fleet.membership.IncarnationStatus;

/**
 * Distributed semaphore for concurrent changes, stored as one object in the platform.
 *
 * <p>Hosts modify it by conditional update. Slots of ended incarnations are free.
 *
 * @param holders the holder of each slot, by the backend server that it changes
 */
public record SharedSlots(Map<BackendId, Incarnation> holders) {

    /** No slot is held. */
    public static final SharedSlots EMPTY = new SharedSlots(Map.of());

    private static final String HEADER = "slots 1\n";
    private static final int FIELDS = 3;

    public SharedSlots {
        holders = Map.copyOf(holders);
    }

    /**
     * Returns the slots with one more acquired; empty if the limit is reached.
     *
     * @param backend the backend server to be changed
     * @param taker the host that changes it
     * @param limit maximum number of concurrent changes
     * @param status status of an incarnation
     */
    public Optional<SharedSlots> acquire(
            BackendId backend,
            Incarnation taker,
            int limit,
            Function<Incarnation, IncarnationStatus> status) {
        Map<BackendId, Incarnation> remaining =
                holders.entrySet().stream()
                        .filter(e -> status.apply(e.getValue()) != IncarnationStatus.ENDED)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        remaining.put(backend, taker);
        return remaining.size() <= limit
                ? Optional.of(new SharedSlots(remaining))
                : Optional.empty();
    }

    /** Returns the slots without the one of a backend server, if {@code holder} holds it. */
    public SharedSlots release(BackendId backend, Incarnation holder) {
        Map<BackendId, Incarnation> remaining = new TreeMap<>(holders);
        remaining.remove(backend, holder);
        return new SharedSlots(remaining);
    }

    /** Returns the text stored in the platform. */
    public String text() {
        return new TreeMap<>(holders)
                .entrySet().stream()
                        .map(e -> line(e.getKey(), e.getValue()))
                        .collect(Collectors.joining("", HEADER, ""));
    }

    /** Parses slots, or returns a description of the error. */
    public static Either<String, SharedSlots> parse(String text) {
        if (!text.startsWith(HEADER)) {
            return Either.left("shared slots do not start with '" + HEADER.trim() + "'");
        }
        return Try.of(() -> of(text.substring(HEADER.length())))
                .toEither()
                .mapLeft(error -> "shared slots are malformed: " + error.getMessage());
    }

    private static String line(BackendId backend, Incarnation holder) {
        return backend + " " + holder.host() + " " + holder.number() + "\n";
    }

    private static SharedSlots of(String lines) {
        return new SharedSlots(
                lines.lines()
                        .map(SharedSlots::fields)
                        .collect(
                                Collectors.toMap(
                                        fields -> new BackendId(fields[0]),
                                        fields ->
                                                new Incarnation(
                                                        new HostId(fields[1]),
                                                        Long.parseLong(fields[2])))));
    }

    private static String[] fields(String line) {
        String[] fields = line.split(" ", -1);
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException("line '" + line + "' does not have 3 fields");
        }
        return fields;
    }
}
