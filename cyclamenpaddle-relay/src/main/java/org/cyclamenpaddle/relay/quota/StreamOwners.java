package org.cyclamenpaddle.relay.quota;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.cyclamenpaddle.core.message.StreamNotice;
import org.cyclamenpaddle.core.message.StreamNoticeResponse;
import org.cyclamenpaddle.core.message.StreamRequest;
import org.cyclamenpaddle.core.message.StreamResponse;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.resume.StreamPeers;
import org.cyclamenpaddle.routing.limit.OwnerChoice;

/**
 * Keeps the beginnings of streams at hosts that confirm them.
 *
 * <p>The hosts in the store include those that ended up to 80 s ago. A host that does not confirm a
 * notice, or does not respond to a question, owns no streams until it confirms a notice again: the
 * next hosts in the order of the shard stand in for it, and are told all that this host remembers
 * of its shards. Owners of remembered streams to which nothing else is sent are probed, so that
 * what an owner knew is told again soon after it has ended. A stream is lost only if all hosts end
 * that remember it before one of them has noticed the end of another. Thread-safe.
 */
final class StreamOwners implements StreamPeers {

    /** Interval at which owners are probed, in milliseconds. */
    static final long PROBE_INTERVAL_MILLIS = 500;

    /**
     * Maximum number of hosts probed at a time, which bounds the messages of a large fleet. There,
     * notices of new streams show within seconds that an owner has ended.
     */
    private static final int MAX_PROBES = 10;

    /** Maximum number of streams in one message. */
    private static final int MAX_BEGINNINGS = 256;

    /** Number of hosts by which each further question for a stream is extended. */
    private static final int WIDENING = 2;

    private final Supplier<QuotaMembers> mMembers;
    private final StreamTransport mTransport;
    private final StreamPeers.Listener mMemory;
    private final RelayEventLog mLog;
    private final Clock mClock;
    private final Table<Contacts> mContacts = new Table<>(TableOrder.STREAM_OWNERS, new Contacts());

    /** Hosts that did not confirm or respond; replaced while the contacts are locked. */
    private volatile Set<HostId> mSilent = Set.of();

    /** What is known of the other hosts, and of which shards streams are remembered. */
    private static final class Contacts {
        private final Map<HostId, Long> mIncarnations = new HashMap<>();
        private final Map<HostId, Long> mContactedMillis = new HashMap<>();
        private final long[] mRememberedUntilMillis = new long[QuotaMembers.STREAM_SHARDS];
    }

    /**
     * Change of the silent hosts.
     *
     * <p>Both views belong to one change: what lies between two changes that are told at the same
     * time would otherwise be told by neither.
     */
    private record Change(Set<HostId> before, Set<HostId> after) {}

    /**
     * Creates owners of which all are taken to confirm.
     *
     * @param members hosts of the latest listing
     * @param transport sends messages to other hosts
     * @param memory streams that this host remembers
     * @param log event log
     * @param clock steady clock
     */
    StreamOwners(
            Supplier<QuotaMembers> members,
            StreamTransport transport,
            StreamPeers.Listener memory,
            RelayEventLog log,
            Clock clock) {
        mMembers = members;
        mTransport = transport;
        mMemory = memory;
        mLog = log;
        mClock = clock;
    }

    @Override
    public void report(Collection<StreamBeginning> beginnings) {
        remember(beginnings);
        QuotaMembers members = mMembers.get();
        send(members, beginnings, shard -> members.streamOwners(shard, this::confirms));
    }

    @Override
    public void handOn(Collection<StreamBeginning> beginnings) {
        QuotaMembers members = mMembers.get();
        Predicate<HostId> staying = host -> !host.equals(members.self()) && confirms(host);
        send(members, beginnings, shard -> members.streamOwners(shard, staying));
    }

    @Override
    public List<CompletableFuture<Reply>> ask(StreamKey stream, int round) {
        QuotaMembers members = mMembers.get();
        return members
                .possibleStreamOwners(QuotaMembers.shard(stream), this::confirms, WIDENING * round)
                .stream()
                .filter(host -> !host.equals(members.self()))
                .flatMap(host -> members.find(host).stream())
                .map(host -> ask(host, new StreamRequest(stream)))
                .toList();
    }

    /** Returns whether a host has not failed to confirm or to respond since it last did. */
    boolean confirms(HostId host) {
        return !mSilent.contains(host);
    }

    /** Records that this host remembers streams, of its own or of others. */
    void remember(Collection<StreamBeginning> beginnings) {
        long now = mClock.millis();
        mContacts.write(
                contacts ->
                        beginnings.forEach(
                                begun -> {
                                    int shard = QuotaMembers.shard(begun.stream());
                                    contacts.mRememberedUntilMillis[shard] =
                                            Math.max(
                                                    contacts.mRememberedUntilMillis[shard],
                                                    now + begun.remainingMillis());
                                }));
    }

    /** Tells the hosts that have become owners with a new listing what this host remembers. */
    void updateMembers(QuotaMembers earlier, QuotaMembers updated) {
        Set<HostId> silent =
                mContacts.read(
                        contacts -> {
                            contacts.mIncarnations.keySet().retainAll(updated.hosts());
                            contacts.mContactedMillis.keySet().retainAll(updated.hosts());
                            Set<HostId> listed = new HashSet<>(mSilent);
                            listed.retainAll(updated.hosts());
                            mSilent = Set.copyOf(listed);
                            return mSilent;
                        });
        tellNewOwners(earlier, silent, updated, silent);
    }

    /** Probes owners of remembered streams that have not been contacted lately. */
    void probe() {
        QuotaMembers members = mMembers.get();
        long now = mClock.millis();
        mContacts.read(contacts -> due(contacts, members, now)).stream()
                .flatMap(host -> members.find(host).stream())
                .forEach(host -> tell(host, List.of()));
    }

    private List<HostId> due(Contacts contacts, QuotaMembers members, long now) {
        return IntStream.range(0, QuotaMembers.STREAM_SHARDS)
                .filter(shard -> contacts.mRememberedUntilMillis[shard] > now)
                .boxed()
                .flatMap(
                        shard ->
                                Stream.of(
                                                members.streamOwners(shard, this::confirms),
                                                // A silent host that would own them may be back.
                                                members.streamOwners(shard, host -> true))
                                        .flatMap(List::stream))
                .distinct()
                .filter(host -> !host.equals(members.self()))
                .filter(host -> now - contactedMillis(contacts, host) >= PROBE_INTERVAL_MILLIS)
                .sorted(Comparator.comparingLong(host -> contactedMillis(contacts, host)))
                .limit(MAX_PROBES)
                .toList();
    }

    private static long contactedMillis(Contacts contacts, HostId host) {
        return contacts.mContactedMillis.getOrDefault(host, -PROBE_INTERVAL_MILLIS);
    }

    /** Sends beginnings to the owners of their shards, all that a host is to get at once. */
    private int send(
            QuotaMembers members,
            Collection<StreamBeginning> beginnings,
            IntFunction<List<HostId>> owners) {
        Map<HostId, List<StreamBeginning>> byHost = new HashMap<>();
        beginnings.stream()
                .collect(Collectors.groupingBy(begun -> QuotaMembers.shard(begun.stream())))
                .forEach(
                        (shard, begun) ->
                                owners.apply(shard).stream()
                                        .filter(host -> !host.equals(members.self()))
                                        .forEach(
                                                host ->
                                                        byHost.computeIfAbsent(
                                                                        host,
                                                                        key -> new ArrayList<>())
                                                                .addAll(begun)));
        byHost.forEach((host, begun) -> members.find(host).ifPresent(to -> sendInParts(to, begun)));
        return byHost.values().stream().mapToInt(List::size).sum();
    }

    private void sendInParts(HostRecord to, List<StreamBeginning> beginnings) {
        Stream.iterate(0, from -> from < beginnings.size(), from -> from + MAX_BEGINNINGS)
                .map(
                        from ->
                                beginnings.subList(
                                        from, Math.min(beginnings.size(), from + MAX_BEGINNINGS)))
                .forEach(part -> tell(to, part));
    }

    private void tell(HostRecord to, List<StreamBeginning> beginnings) {
        HostId host = to.incarnation().host();
        contacted(host);
        mTransport
                .send(to, new StreamNotice(beginnings))
                .thenAccept(
                        response -> apply(host, response.map(StreamNoticeResponse::incarnation)));
    }

    private CompletableFuture<Reply> ask(HostRecord to, StreamRequest request) {
        HostId host = to.incarnation().host();
        return mTransport
                .ask(to, request)
                .thenApply(
                        response -> {
                            response.swap().forEach(failure -> apply(host, Either.left(failure)));
                            return response.map(StreamResponse::version)
                                    .map(version -> new Reply(true, version))
                                    .getOrElse(Reply.NONE);
                        });
    }

    private void contacted(HostId host) {
        long now = mClock.millis();
        mContacts.write(contacts -> contacts.mContactedMillis.put(host, now));
    }

    private void apply(HostId host, Either<OwnerChoice.FailureKind, Long> incarnation) {
        mContacts
                .read(contacts -> record(contacts, host, incarnation))
                .ifPresent(
                        change -> {
                            QuotaMembers members = mMembers.get();
                            int told =
                                    tellNewOwners(
                                            members, change.before(), members, change.after());
                            incarnation
                                    .peek(
                                            confirmed ->
                                                    mLog.log(
                                                            RelayEvent.STREAM_OWNER_CONFIRMS,
                                                            host,
                                                            told))
                                    .peekLeft(
                                            failure ->
                                                    mLog.log(
                                                            RelayEvent.STREAM_OWNER_SILENT,
                                                            host,
                                                            failure.name(),
                                                            told));
                        });
    }

    /** Records an outcome, and returns the change if the host owns other shards because of it. */
    private Optional<Change> record(
            Contacts contacts, HostId host, Either<OwnerChoice.FailureKind, Long> incarnation) {
        Set<HostId> before = mSilent;
        if (incarnation.isLeft()) {
            mSilent = with(before, host);
            return before.contains(host)
                    ? Optional.empty()
                    : Optional.of(new Change(before, mSilent));
        }
        Long earlier = contacts.mIncarnations.put(host, incarnation.get());
        boolean restarted = earlier != null && !earlier.equals(incarnation.get());
        if (!before.contains(host) && !restarted) {
            return Optional.empty();
        }
        mSilent = without(before, host);
        return Optional.of(new Change(with(before, host), mSilent));
    }

    /** Tells hosts that own a shard now, and did not before, what this host remembers of it. */
    private int tellNewOwners(
            QuotaMembers earlier,
            Set<HostId> silentBefore,
            QuotaMembers members,
            Set<HostId> silent) {
        return send(
                members,
                mMemory.all(),
                shard -> {
                    List<HostId> known =
                            earlier.streamOwners(shard, host -> !silentBefore.contains(host));
                    return members.streamOwners(shard, host -> !silent.contains(host)).stream()
                            .filter(host -> !known.contains(host))
                            .toList();
                });
    }

    private static Set<HostId> with(Set<HostId> hosts, HostId host) {
        Set<HostId> all = new HashSet<>(hosts);
        all.add(host);
        return Set.copyOf(all);
    }

    private static Set<HostId> without(Set<HostId> hosts, HostId host) {
        Set<HostId> all = new HashSet<>(hosts);
        all.remove(host);
        return Set.copyOf(all);
    }
}
