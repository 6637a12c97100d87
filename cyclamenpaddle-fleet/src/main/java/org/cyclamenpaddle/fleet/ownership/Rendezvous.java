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
 * <p>Hosts with the same view compute the same assignment. When a host joins or leaves, only the
 * subjects assigned to it move. Weights depend only on the host's name, so a restart moves no
 * subject.
 */
public final class Rendezvous {

    private static final long MIX_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
    private static final int SHIFT = 33;

    private Rendezvous() {}

    /** Returns the hash of a subject or of a host's name, for {@link #weight(long, long)}. */
    public static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /** Returns the hash of a host's name. */
    public static long hash(HostRecord host) {
        return hash(host.incarnation().host().value());
    }

    /** Returns the weight of a candidate for a subject, from the hashes of both. */
    public static long weight(long subject, long candidate) {
        return mix(mix(subject) ^ candidate);
    }

    /**
     * Returns the {@code count} hosts of greatest weight for {@code subject}, greatest first.
     *
     * @param subject the subject to assign
     * @param candidates hosts to choose from, each at most once
     * @param count maximum number of hosts to return
     */
    public static List<HostRecord> top(
            String subject, Collection<HostRecord> candidates, int count) {
        long hash = hash(subject);
        return candidates.stream()
                .map(host -> new Weighted(host, weight(hash, hash(host))))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed())
                .limit(count)
                .map(Weighted::host)
                .collect(Collectors.toList());
    }

    /** Finalizer of MurmurHash3, 64 bits. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> SHIFT)) * MIX_1;
        mixed = (mixed ^ (mixed >>> SHIFT)) * MIX_2;
        return mixed ^ (mixed >>> SHIFT);
    }

    private record Weighted(HostRecord host, long weight) {}
}
