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
 * Changes under way that share one limit over all hosts, as one object of the platform.
 *
 * <p>Hosts change it by conditional update. A slot of a host whose life has ended is free.
 *
 * @param holders which host changes which backend server
 */
public record SharedSlots(Map<BackendId, Incarnation> holders) {

    /** No change is under way. */
    public static final SharedSlots EMPTY = new SharedSlots(Map.of());

    private static final String HEADER = "slots 1\n";
    private static final int FIELDS = 3;

    public SharedSlots {
        holders = Map.copyOf(holders);
    }

    /**
     * Returns the slots with one more taken; empty if the limit is reached.
     *
     * @param backend the backend server to be changed
     * @param taker the host that changes it
     * @param limit how many changes may be under way
     * @param standing what is known of an incarnation
     */
    public Optional<SharedSlots> acquire(
            BackendId backend,
            Incarnation taker,
            int limit,
            Function<Incarnation, IncarnationStatus> standing) {
        Map<BackendId, Incarnation> kept =
                holders.entrySet().stream()
                        .filter(e -> standing.apply(e.getValue()) != IncarnationStatus.ENDED)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        kept.put(backend, taker);
        return kept.size() <= limit ? Optional.of(new SharedSlots(kept)) : Optional.empty();
    }

    /** Returns the slots without one, if this host holds it. */
    public SharedSlots release(BackendId backend, Incarnation holder) {
        Map<BackendId, Incarnation> kept = new TreeMap<>(holders);
        kept.remove(backend, holder);
        return new SharedSlots(kept);
    }

    /** Returns the text kept in the platform. */
    public String text() {
        return new TreeMap<>(holders)
                .entrySet().stream()
                        .map(e -> line(e.getKey(), e.getValue()))
                        .collect(Collectors.joining("", HEADER, ""));
    }

    /** Returns the slots of a text, or what is wrong with the text. */
    public static Either<String, SharedSlots> parse(String text) {
        if (!text.startsWith(HEADER)) {
            return Either.left("slots do not start with '" + HEADER.trim() + "'");
        }
        return Try.of(() -> of(text.substring(HEADER.length())))
                .toEither()
                .mapLeft(error -> "slots are malformed: " + error.getMessage());
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
            throw new IllegalArgumentException("line '" + line + "'");
        }
        return fields;
    }
}
