package org.cyclamenpaddle.relay.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.OutputStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.cyclamenpaddle.core.message.StreamNotice;
import org.cyclamenpaddle.core.message.StreamNoticeResponse;
import org.cyclamenpaddle.core.message.StreamRequest;
import org.cyclamenpaddle.core.message.StreamResponse;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.resume.StreamMemory;
import org.cyclamenpaddle.relay.resume.StreamPeers;
import org.cyclamenpaddle.relay.settings.Endpoint;
import org.cyclamenpaddle.relay.store.VirtualExecutor;
import org.cyclamenpaddle.routing.limit.OwnerChoice;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests in virtual time which streams are known after the loss of hosts that all hosts list. */
public class StreamOwnersTest {

    private static final int STREAMS = 60;
    private static final int DOMAINS = 4;
    private static final long RETENTION_MILLIS = 28_000;
    private static final SoftwareVersion VERSION = new SoftwareVersion("v1");

    /** Share of the streams that must be known while their version serves. */
    private static final double MIN_KNOWN = 0.9;

    /** How a host is lost, as the others see it. */
    private enum Loss {
        KILLED(0, OwnerChoice.FailureKind.NO_CONNECTION),
        STOPPED(QuotaTiming.TIMEOUT_MILLIS, OwnerChoice.FailureKind.NO_RESPONSE);

        private final long mNoticedMillis;
        private final OwnerChoice.FailureKind mFailure;

        Loss(long noticedMillis, OwnerChoice.FailureKind failure) {
            mNoticedMillis = noticedMillis;
            mFailure = failure;
        }
    }

    /** When the streams begin, and when all hosts but two are lost. */
    private enum Order {
        BEGIN_AFTER_THE_LOSS {
            @Override
            void play(Fleet fleet, Loss loss) {
                fleet.loseAllButTwo(loss, 1);
                fleet.advance(5_000);
                fleet.begin();
                fleet.advance(1_500);
            }
        },
        BEGIN_BEFORE_THE_LOSS {
            @Override
            void play(Fleet fleet, Loss loss) {
                fleet.begin();
                fleet.advance(1_000);
                fleet.loseAllButTwo(loss, 1);
                fleet.advance(3_500);
            }
        },
        LOSS_IN_SERIES {
            @Override
            void play(Fleet fleet, Loss loss) {
                fleet.begin();
                fleet.loseAllButTwo(loss, 4);
                fleet.advance(3_500);
            }
        };

        abstract void play(Fleet fleet, Loss loss);
    }

    /** Host of a fleet that has listed all hosts and keeps them listed. */
    private static final class Host {

        private final HostId mName;
        private final StreamOwners mOwners;
        private final StreamMemory mMemory;
        private Optional<Loss> mLoss = Optional.empty();
        private long mIncarnation = 1;

        Host(Fleet fleet, PeerAddress address) {
            mName = address.host();
            QuotaMembers members = QuotaMembers.of(address, fleet.mAddresses);
            mOwners =
                    new StreamOwners(
                            () -> members,
                            fleet,
                            new Listener(),
                            new RelayEventLog(OutputStream.nullOutputStream(), "h", Instant::now),
                            fleet.mClock);
            mMemory = new StreamMemory(mOwners, new RelayMetrics(), fleet.mClock);
        }

        private final class Listener implements StreamPeers.Listener {

            @Override
            public void reported(Collection<StreamBeginning> beginnings) {
                mMemory.reported(beginnings);
            }

            @Override
            public Optional<SoftwareVersion> known(StreamKey stream) {
                return mMemory.known(stream);
            }

            @Override
            public Collection<StreamBeginning> all() {
                return mMemory.all();
            }
        }
    }

    /** Hosts that reach each other without delay, unless they are lost. */
    private static final class Fleet implements StreamTransport {

        private final VirtualClock mClock = new VirtualClock(0);
        private final VirtualExecutor mExecutor = new VirtualExecutor(mClock);
        private final List<PeerAddress> mAddresses = new ArrayList<>();
        private final Map<HostId, Host> mHosts = new HashMap<>();
        private int mNotices;

        Fleet(int size) {
            IntStream.range(0, size)
                    .forEach(
                            i ->
                                    mAddresses.add(
                                            new PeerAddress(
                                                    new HostId("h-" + i),
                                                    new FailureDomain("d-" + i % DOMAINS),
                                                    new Endpoint("127.0.0.1", 1 + i))));
            mAddresses.forEach(address -> mHosts.put(address.host(), new Host(this, address)));
        }

        Host host(int index) {
            return mHosts.get(new HostId("h-" + index));
        }

        private static StreamKey key(int stream) {
            return StreamKey.of(new ServiceName("notes"), "attempt-" + stream);
        }

        /** Begins all streams at the first host. */
        void begin() {
            IntStream.range(0, STREAMS)
                    .mapToObj(i -> new StreamBeginning(key(i), VERSION, RETENTION_MILLIS))
                    .forEach(begun -> host(0).mMemory.record(List.of(begun)));
        }

        /** Loses all hosts but the first two, in groups a second apart. */
        void loseAllButTwo(Loss loss, int groups) {
            for (int group = 0; group < groups; group++) {
                int lost = group;
                IntStream.range(2, mHosts.size())
                        .filter(i -> i % groups == lost)
                        .forEach(i -> host(i).mLoss = Optional.of(loss));
                if (group < groups - 1) {
                    advance(1_000);
                }
            }
        }

        void advance(long millis) {
            for (long end = mClock.millis() + millis; mClock.millis() < end; ) {
                mExecutor.advance(
                        Math.min(StreamOwners.PROBE_INTERVAL_MILLIS, end - mClock.millis()));
                mHosts.values().stream()
                        .filter(host -> host.mLoss.isEmpty())
                        .forEach(host -> host.mOwners.probe());
            }
        }

        /** Returns how many streams a host knows or learns from others. */
        long known(Host host) {
            List<CompletableFuture<Optional<SoftwareVersion>>> found =
                    IntStream.range(0, STREAMS)
                            .mapToObj(i -> host.mMemory.find(key(i), this::pause))
                            .toList();
            advance(3_000);
            return found.stream()
                    .filter(version -> version.getNow(Optional.empty()).isPresent())
                    .count();
        }

        private java.util.concurrent.Executor pause(long millis) {
            return task -> mExecutor.schedule(task, millis, TimeUnit.MILLISECONDS);
        }

        @Override
        public CompletableFuture<Either<OwnerChoice.FailureKind, StreamNoticeResponse>> send(
                HostRecord to, StreamNotice notice) {
            mNotices++;
            return deliver(
                    to,
                    host -> {
                        host.mMemory.reported(notice.beginnings());
                        host.mOwners.remember(notice.beginnings());
                        return new StreamNoticeResponse(host.mIncarnation);
                    });
        }

        @Override
        public CompletableFuture<Either<OwnerChoice.FailureKind, StreamResponse>> ask(
                HostRecord to, StreamRequest request) {
            return deliver(to, host -> new StreamResponse(host.mMemory.known(request.stream())));
        }

        private <R extends PeerMessage>
                CompletableFuture<Either<OwnerChoice.FailureKind, R>> deliver(
                        HostRecord to, java.util.function.Function<Host, R> handle) {
            Host host = mHosts.get(to.incarnation().host());
            CompletableFuture<Either<OwnerChoice.FailureKind, R>> response =
                    new CompletableFuture<>();
            if (host.mLoss.isEmpty()) {
                R handled = handle.apply(host);
                mExecutor.execute(() -> response.complete(Either.right(handled)));
            } else {
                Loss loss = host.mLoss.get();
                mExecutor.schedule(
                        () -> response.complete(Either.left(loss.mFailure)),
                        loss.mNoticedMillis,
                        TimeUnit.MILLISECONDS);
            }
            return response;
        }
    }

    @DataProvider
    public Object[][] losses() {
        return IntStream.of(6, 67, 411)
                .boxed()
                .flatMap(
                        hosts ->
                                List.of(Loss.values()).stream()
                                        .flatMap(
                                                loss ->
                                                        List.of(Order.values()).stream()
                                                                .map(
                                                                        order ->
                                                                                new Object[] {
                                                                                    hosts, loss,
                                                                                    order
                                                                                })))
                .toArray(Object[][]::new);
    }

    /**
     * Failure: all hosts but two are lost and stay listed; streams are told to the lost ones alone,
     * and none knows them once the host at which they began has ended too.
     */
    @Test(dataProvider = "losses")
    public void streamsAreKnownAfterTheLossOfAllHostsButTwo(int hosts, Loss loss, Order order) {
        Fleet fleet = new Fleet(hosts);
        order.play(fleet, loss);
        fleet.host(0).mLoss = Optional.of(loss);
        long known = fleet.known(fleet.host(1));
        assertTrue(known >= MIN_KNOWN * STREAMS, "streams known: " + known);
    }

    /** Failure: an owner starts again, remembers nothing, and counts as having confirmed. */
    @Test
    public void ownerThatHasStartedAgainIsToldAgain() {
        Fleet fleet = new Fleet(3);
        fleet.begin();
        fleet.advance(1_000);
        Host restarted = new Host(fleet, fleet.mAddresses.get(1));
        restarted.mIncarnation = 2;
        fleet.mHosts.put(restarted.mName, restarted);
        fleet.advance(1_000);
        assertTrue(restarted.mMemory.size() >= STREAMS / 3, "" + restarted.mMemory.size());
    }

    /** Failure: the messages for a stream grow with the number of hosts. */
    @Test
    public void messagesForAStreamDoNotGrowWithTheNumberOfHosts() {
        Fleet fleet = new Fleet(411);
        fleet.begin();
        assertTrue(fleet.mNotices <= 3 * STREAMS, "notices: " + fleet.mNotices);
        fleet.mNotices = 0;
        fleet.advance(StreamOwners.PROBE_INTERVAL_MILLIS);
        assertTrue(fleet.mNotices <= 10 * 411, "probes: " + fleet.mNotices);
    }

    /** Failure: a host that was stopped for a while owns no streams for as long as it is listed. */
    @Test
    public void hostThatConfirmsAgainOwnsStreamsAgain() {
        Fleet fleet = new Fleet(6);
        fleet.begin();
        fleet.host(2).mLoss = Optional.of(Loss.STOPPED);
        fleet.advance(2_000);
        assertEquals(fleet.host(0).mOwners.confirms(new HostId("h-2")), false);
        fleet.host(2).mLoss = Optional.empty();
        fleet.advance(2_000);
        assertEquals(fleet.host(0).mOwners.confirms(new HostId("h-2")), true);
    }
}
