package org.cyclamenpaddle.relay.crash;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.http.ConnectCheck;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.metric.RelayMetrics;

/**
 * Determines whether a lost connection to a backend server means that the server has ended.
 *
 * <p>A connection can be reset while its server goes on. So the server is checked by a new
 * connection at once, and by its entry in the store later. Thread-safe.
 */
public final class CrashDetector {

    /** Checks whether a process listens at the address of a server. */
    @FunctionalInterface
    interface Check {
        CompletableFuture<ConnectCheck.Result> start(EventLoop loop, Backend backend);
    }

    /**
     * Time that a request waits for the check of its server, in milliseconds: some round trips
     * between failure domains. A check without a response goes on in the background.
     */
    private static final long MAX_WAIT_MILLIS = 50;

    /**
     * Time after which a server that was found listening is checked once more, in milliseconds. A
     * process that ends may reset its connections before it stops listening.
     */
    private static final long CHECK_AGAIN_MILLIS = 100;

    private final Table<CrashSuspicions> mSuspicions =
            new Table<>(TableOrder.SUSPECTS, new CrashSuspicions());
    private final Map<BackendId, CompletableFuture<Void>> mChecks = new ConcurrentHashMap<>();
    private final Predicate<Backend> mReplaced;
    private final RequestQuarantine mQuarantine;
    private final PartTracker mParts;
    private final RelayMetrics mMetrics;
    private final Clock mClock;
    private final Check mCheck;

    /** Whether any connection is suspicious; while none is, responses skip the lock. */
    private volatile boolean mSuspecting;

    /**
     * Creates a detector.
     *
     * @param replaced whether another incarnation of a server is listed
     * @param quarantine counts the servers that end under each request
     * @param parts finds the parts of prompts under which servers end
     */
    public CrashDetector(
            Predicate<Backend> replaced,
            RequestQuarantine quarantine,
            PartTracker parts,
            RelayMetrics metrics,
            Clock clock) {
        this(
                replaced,
                quarantine,
                parts,
                metrics,
                clock,
                (loop, backend) -> ConnectCheck.start(loop, backend.address(), backend.port()));
    }

    CrashDetector(
            Predicate<Backend> replaced,
            RequestQuarantine quarantine,
            PartTracker parts,
            RelayMetrics metrics,
            Clock clock,
            Check check) {
        mReplaced = replaced;
        mQuarantine = quarantine;
        mParts = parts;
        mMetrics = metrics;
        mClock = clock;
        mCheck = check;
    }

    /**
     * Records a lost connection and checks its server.
     *
     * @param loop event loop of the request
     * @return completes on the event loop when the check has a result, or after {@value
     *     #MAX_WAIT_MILLIS} ms
     */
    public CompletableFuture<Void> connectionLost(LostConnection lost, EventLoop loop) {
        long now = mClock.millis();
        Optional<CrashEvidence> ended =
                mSuspicions.read(
                        suspicions -> {
                            suspicions.add(lost, now);
                            mSuspecting = true;
                            return suspicions.evidence(lost.backend());
                        });
        mMetrics.recordCrashEvent(CrashEvent.SUSPECTED);
        // The store may show another incarnation before the connection is lost.
        if (ended.isEmpty() && mReplaced.test(lost.backend())) {
            ended = Optional.of(CrashEvidence.REPLACED);
        }
        if (ended.isPresent()) {
            serverEnded(lost.backend(), ended.get());
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> checked = new CompletableFuture<>();
        // Requests that lose their connections to one server together share a check.
        mChecks.computeIfAbsent(lost.incarnation(), server -> check(lost.backend(), loop))
                .thenRun(() -> loop.execute(() -> checked.complete(null)));
        loop.schedule(() -> checked.complete(null), MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        return checked;
    }

    private CompletableFuture<Void> check(Backend backend, EventLoop loop) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () ->
                        mCheck.start(loop, backend)
                                .thenAccept(
                                        result -> {
                                            mChecks.remove(LostConnection.incarnation(backend));
                                            checked(backend, result);
                                            if (result == ConnectCheck.Result.ACCEPTED) {
                                                scheduleSecondCheck(backend, loop);
                                            }
                                            done.complete(null);
                                        }));
        return done;
    }

    private void scheduleSecondCheck(Backend backend, EventLoop loop) {
        loop.schedule(
                () -> {
                    if (mSuspicions.read(suspicions -> suspicions.isSuspect(backend))) {
                        mCheck.start(loop, backend).thenAccept(result -> checked(backend, result));
                    }
                },
                CHECK_AGAIN_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void checked(Backend backend, ConnectCheck.Result result) {
        switch (result) {
            case REFUSED -> serverEnded(backend, CrashEvidence.CONNECTION_REFUSED);
            case ACCEPTED -> mSuspicions.write(suspicions -> suspicions.listens(backend));
            default -> {
                // Without a path to the machine, only the store can show the end of the server.
            }
        }
    }

    /** Records that a server has responded to a request that was sent at the given time. */
    public void responded(Backend backend, long sentMillis) {
        if (mSuspecting) {
            mSuspicions.write(
                    suspicions -> {
                        suspicions.responded(backend, sentMillis);
                        mSuspecting = !suspicions.isEmpty();
                    });
        }
    }

    /** Applies a complete listing of the backend servers. */
    public void serversListed(Map<BackendId, Backend> listed) {
        if (!mSuspecting) {
            return;
        }
        listed.forEach((id, backend) -> serverChanged(id, Optional.of(backend)));
        suspects().filter(suspect -> !listed.containsKey(suspect.id())).forEach(this::removed);
    }

    /** Applies a change of the entry of a backend server; empty if it was removed. */
    public void serverChanged(BackendId id, Optional<Backend> entry) {
        if (!mSuspecting) {
            return;
        }
        if (entry.isEmpty()) {
            suspects().filter(suspect -> suspect.id().equals(id)).forEach(this::removed);
            return;
        }
        Backend backend = entry.get();
        suspects()
                .filter(suspect -> !suspect.sameIncarnation(backend))
                .filter(
                        suspect ->
                                suspect.id().equals(id)
                                        || suspect.endpoint().equals(backend.endpoint()))
                .forEach(suspect -> serverEnded(suspect, CrashEvidence.REPLACED));
    }

    private void removed(Backend suspect) {
        if (!mSuspicions.read(suspicions -> suspicions.isListening(suspect))) {
            serverEnded(suspect, CrashEvidence.ENTRY_REMOVED);
        }
    }

    private Stream<Backend> suspects() {
        return mSuspicions.read(CrashSuspicions::suspects).stream();
    }

    /** Attributes the end of a server to the requests that lost their connections to it. */
    private void serverEnded(Backend backend, CrashEvidence evidence) {
        long now = mClock.millis();
        BackendId incarnation = LostConnection.incarnation(backend);
        List<LostConnection> open =
                mSuspicions.read(suspicions -> suspicions.ended(incarnation, evidence, now));
        mParts.serverEnded(incarnation, open);
        open.forEach(lost -> mQuarantine.serverEnded(lost, incarnation, evidence, open.size()));
    }

    /** Returns whether an incarnation of a server is known to have ended. */
    public boolean hasEnded(Backend backend) {
        return mSuspicions.read(suspicions -> suspicions.evidence(backend).isPresent());
    }
}
