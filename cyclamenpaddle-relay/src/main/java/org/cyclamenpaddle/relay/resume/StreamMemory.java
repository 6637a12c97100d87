package org.cyclamenpaddle.relay.resume;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.routing.stream.StreamBeginnings;

/**
 * Knows at which software versions the streams began that callers may take up at this host.
 *
 * <p>The host that begins a stream remembers it and tells the stream's owners; the host that a
 * caller comes back to asks them. Nothing waits for a notice: one that reaches no host leads to a
 * stream that is not resumed, never to one that is resumed elsewhere. Thread-safe.
 */
public final class StreamMemory implements StreamPeers.Listener {

    /** Maximum number of streams remembered, about 2 MB. */
    private static final int MAX_STREAMS = 16_384;

    /** Pauses before the owners are asked again: a caller may be faster than a notice. */
    private static final List<Long> RETRY_MILLIS = List.of(40L, 120L);

    /** Maximum number of retries while hosts do not respond; others are asked in their place. */
    private static final int MAX_RETRIES = 6;

    /** Pause before others are asked in place of hosts that do not respond, in milliseconds. */
    private static final long REPLACE_MILLIS = 10;

    private final Table<StreamBeginnings> mBeginnings =
            new Table<>(TableOrder.STREAMS, new StreamBeginnings(MAX_STREAMS));
    private final StreamPeers mPeers;
    private final RelayMetrics mMetrics;
    private final Clock mClock;

    /** Creates a memory without streams. */
    public StreamMemory(StreamPeers peers, RelayMetrics metrics, Clock clock) {
        mPeers = peers;
        mMetrics = metrics;
        mClock = clock;
    }

    /** Records the beginnings of streams, or that they have gone on, and tells their owners. */
    public void record(Collection<StreamBeginning> beginnings) {
        reported(beginnings);
        mPeers.report(beginnings);
    }

    @Override
    public void reported(Collection<StreamBeginning> beginnings) {
        long now = mClock.millis();
        mBeginnings.write(memory -> beginnings.forEach(begun -> memory.record(begun, now)));
    }

    @Override
    public Optional<SoftwareVersion> known(StreamKey stream) {
        long now = mClock.millis();
        return mBeginnings.read(memory -> memory.find(stream, now));
    }

    /**
     * Finds the version that began a stream, if necessary by asking other hosts.
     *
     * @param pause runs a task after a pause in milliseconds
     * @return completes with the version, or empty if it cannot be found
     */
    public CompletableFuture<Optional<SoftwareVersion>> find(StreamKey stream, Pause pause) {
        Optional<SoftwareVersion> here = known(stream);
        if (here.isPresent()) {
            mMetrics.recordStream(StreamEvent.KNOWN_HERE);
            return CompletableFuture.completedFuture(here);
        }
        return ask(stream, pause, 0)
                .thenApply(
                        version -> {
                            version.ifPresent(
                                    known -> mMetrics.recordStream(StreamEvent.KNOWN_ELSEWHERE));
                            return version;
                        });
    }

    /** Runs a task later. */
    @FunctionalInterface
    public interface Pause {
        /** Returns an executor that starts tasks after a time in milliseconds. */
        Executor of(long millis);
    }

    private CompletableFuture<Optional<SoftwareVersion>> ask(
            StreamKey stream, Pause pause, int retries) {
        List<CompletableFuture<StreamPeers.Reply>> replies = mPeers.ask(stream, retries);
        return firstKnown(replies)
                .thenCompose(
                        version -> {
                            // A notice may have arrived here meanwhile.
                            Optional<SoftwareVersion> known = version.or(() -> known(stream));
                            OptionalLong retryMillis =
                                    known.isPresent()
                                            ? OptionalLong.empty()
                                            : retryMillis(replies, retries);
                            if (retryMillis.isEmpty()) {
                                return CompletableFuture.completedFuture(known);
                            }
                            return CompletableFuture.supplyAsync(
                                            () -> ask(stream, pause, retries + 1),
                                            pause.of(retryMillis.getAsLong()))
                                    .thenCompose(next -> next);
                        });
    }

    /** Returns the pause before the next round; empty if there is none. */
    private static OptionalLong retryMillis(
            List<CompletableFuture<StreamPeers.Reply>> replies, int retries) {
        boolean silent =
                replies.stream()
                        .anyMatch(reply -> !reply.getNow(StreamPeers.Reply.NONE).responded());
        if (silent && retries < MAX_RETRIES) {
            return OptionalLong.of(REPLACE_MILLIS);
        }
        return retries < RETRY_MILLIS.size()
                ? OptionalLong.of(RETRY_MILLIS.get(retries))
                : OptionalLong.empty();
    }

    /** Completes with the first version that a host knows, or empty when none does. */
    private static CompletableFuture<Optional<SoftwareVersion>> firstKnown(
            List<CompletableFuture<StreamPeers.Reply>> replies) {
        CompletableFuture<Optional<SoftwareVersion>> first = new CompletableFuture<>();
        replies.forEach(
                reply ->
                        reply.thenAccept(
                                one ->
                                        one.version()
                                                .ifPresent(
                                                        known ->
                                                                first.complete(
                                                                        Optional.of(known)))));
        CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .whenComplete((all, failure) -> first.complete(Optional.empty()));
        return first;
    }

    @Override
    public Collection<StreamBeginning> all() {
        long now = mClock.millis();
        return mBeginnings.read(memory -> memory.all(now));
    }

    /** Tells other hosts all that this host knows, before it leaves. */
    public void handOn() {
        mPeers.handOn(all());
    }

    /** Removes what has expired; called at intervals. */
    public void expire() {
        long now = mClock.millis();
        mBeginnings.write(memory -> memory.expire(now));
    }

    /** Returns the number of streams that are remembered. */
    public int size() {
        return mBeginnings.read(StreamBeginnings::size);
    }

    /** Returns the number of streams that were forgotten too early, for want of space. */
    public long dropped() {
        return mBeginnings.read(StreamBeginnings::dropped);
    }
}
