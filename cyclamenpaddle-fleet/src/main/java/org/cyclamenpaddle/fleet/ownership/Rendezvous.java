package org.cyclamenpaddle.fleet.ownership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;
import org.cyclamenpaddle.core.message.HostRecord;

/**
 * Rendezvous (highest random weight) hashing of subjects over hosts.
 *
 * <p>Hosts with the same view compute the same choice. When a host joins or leaves, only the
 * subjects that it gains or held move. Weights depend on the host's name alone, so a restart does
 * not move anything.
 */
public final class Rendezvous {

    private static final char SEPARATOR = '/';

    private Rendezvous() {}

    /** Returns the weight of {@code candidate} for {@code subject}. */
    public static long weight(String subject, String candidate) {
        String text = subject + SEPARATOR + candidate;
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Returns the {@code count} hosts of greatest weight for {@code subject}, greatest first.
     *
     * @param subject what is to be placed
     * @param candidates hosts to choose from, each at most once
     * @param count how many to return at most
     */
    public static List<HostRecord> top(
            String subject, Collection<HostRecord> candidates, int count) {
        return candidates.stream()
                .map(host -> new Weighted(host, weight(subject, name(host))))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed())
                .limit(count)
                .map(Weighted::host)
                .collect(Collectors.toList());
    }

    private static String name(HostRecord host) {
        return host.incarnation().host().value();
    }

    private record Weighted(HostRecord host, long weight) {}
}
