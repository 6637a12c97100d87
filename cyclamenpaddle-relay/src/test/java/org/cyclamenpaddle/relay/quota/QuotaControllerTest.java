package org.cyclamenpaddle.relay.quota;

import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.cyclamenpaddle.core.time.MonotonicClock;
import org.cyclamenpaddle.peer.net.PeerCounters;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.resume.StreamPeers;
import org.cyclamenpaddle.relay.settings.Endpoint;
import org.cyclamenpaddle.relay.store.StoreAnswers;
import org.cyclamenpaddle.relay.team.QuotaUnit;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.team.TeamQuota;
import org.cyclamenpaddle.routing.limit.QuotaBounds;
import org.cyclamenpaddle.routing.limit.QuotaDecision;
import org.cyclamenpaddle.routing.limit.QuotaLimit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that hosts share a quota over real connections. */
public class QuotaControllerTest {

    private static final QuotaLimit LIMIT = new QuotaLimit(200, 200);
    private static final Team TEAM =
            new Team(
                    new TeamName("desk"),
                    OptionalInt.empty(),
                    Optional.of(new TeamQuota(LIMIT, QuotaUnit.REQUESTS, 0)));
    private static final int RUN_SECONDS = 4;
    private static final QuotaBounds BOUNDS = new QuotaBounds(8, 0.1, 0);

    private static final StreamPeers.Listener NO_STREAMS =
            new StreamPeers.Listener() {
                @Override
                public void reported(Collection<StreamBeginning> beginnings) {}

                @Override
                public Optional<SoftwareVersion> known(StreamKey stream) {
                    return Optional.empty();
                }

                @Override
                public Collection<StreamBeginning> all() {
                    return List.of();
                }
            };

    private final List<QuotaController> mHosts = new ArrayList<>();
    private final List<PeerAddress> mAddresses = new ArrayList<>();
    private ScheduledExecutorService mExecutor;

    @BeforeMethod
    public void start() {
        mExecutor = Executors.newSingleThreadScheduledExecutor();
        for (int i = 1; i <= 3; i++) {
            QuotaController host =
                    new QuotaController(
                            new PeerAddress(
                                    new HostId("h-" + i),
                                    new FailureDomain("d"),
                                    new Endpoint("127.0.0.1", 0)),
                            BOUNDS,
                            team -> Optional.of(LIMIT),
                            () -> Set.of(TEAM.name()),
                            notice -> {},
                            NO_STREAMS,
                            new StoreAnswers(),
                            PeerCounters.NONE,
                            new RelayEventLog(OutputStream.nullOutputStream(), "h", Instant::now),
                            mExecutor,
                            new MonotonicClock());
            mHosts.add(host);
            mAddresses.add(host.start().get());
        }
        mHosts.forEach(host -> host.updateHosts(mAddresses));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mExecutor.shutdownNow();
        mHosts.forEach(QuotaController::close);
        mHosts.clear();
        mAddresses.clear();
    }

    private static boolean admitted(QuotaController host) {
        CompletableFuture<QuotaDecision> decision = new CompletableFuture<>();
        host.quotas().take(TEAM, 1, decision::complete);
        return decision.orTimeout(10, TimeUnit.SECONDS).join() instanceof QuotaDecision.Admitted;
    }

    private static void awaitAdmission(QuotaController host) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!admitted(host)) {
            assertTrue(System.nanoTime() < deadline, "nothing admitted within 20 s");
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Test
    public void hostsTogetherStayWithinTheLimit() throws InterruptedException {
        for (QuotaController host : mHosts) {
            awaitAdmission(host);
        }
        // Hosts that did not share the limit would each use it and exceed the bound in this time.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RUN_SECONDS);
        int admitted = 0;
        for (int i = 0; System.nanoTime() < end; i++) {
            admitted += admitted(mHosts.get(i % mHosts.size())) ? 1 : 0;
        }
        double most = BOUNDS.mostInWindow(LIMIT);
        assertTrue(admitted <= most, admitted + " admitted, the bound is " + most);
        assertTrue(admitted > 0, "nothing admitted");
    }

    /** Failure: the owner of a shard dies, and its teams are refused on all other hosts. */
    @Test
    public void deputyLendsAfterTheOwnerHasDied() throws InterruptedException {
        QuotaMembers members = QuotaMembers.of(mAddresses.get(0), mAddresses);
        List<HostId> candidates = members.candidates(QuotaMembers.shard(TEAM.name()));
        assertTrue(candidates.size() >= 2, "an owner and a deputy: " + candidates);
        int owner = Integer.parseInt(candidates.get(0).value().substring(2)) - 1;
        QuotaController survivor = mHosts.get((owner + 1) % mHosts.size());
        awaitAdmission(survivor);
        mHosts.get(owner).close();
        TimeUnit.MILLISECONDS.sleep(300);
        awaitAdmission(survivor);
    }

    private static boolean permitted(QuotaController host, double perSecond) {
        PermitRequest request =
                new PermitRequest(new BackendId("booking-1"), 1, Math.round(perSecond * 1_000), 1);
        return host.permits().request(request).orTimeout(10, TimeUnit.SECONDS).join().granted();
    }

    /** Each host permits calls to a limited server as if it were the only one. */
    @Test
    public void hostsTogetherStayWithinTheLimitOfAServer() {
        double perSecond = 20;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RUN_SECONDS);
        int permitted = 0;
        for (int i = 0; System.nanoTime() < end; i++) {
            permitted += permitted(mHosts.get(i % mHosts.size()), perSecond) ? 1 : 0;
        }
        double most = perSecond * RUN_SECONDS;
        assertTrue(permitted <= most, permitted + " calls permitted, the limit is " + most);
        assertTrue(permitted > most / 4, permitted + " calls permitted of " + most);
    }

    /** The owner of a server's limit dies, and no host may call the server any more. */
    @Test
    public void deputyPermitsCallsAfterTheOwnerHasDied() throws InterruptedException {
        QuotaMembers members = QuotaMembers.of(mAddresses.get(0), mAddresses);
        HostId owner = members.owners("booking-1").get(0);
        int index = Integer.parseInt(owner.value().substring(2)) - 1;
        mHosts.get(index).close();
        QuotaController survivor = mHosts.get((index + 1) % mHosts.size());
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!permitted(survivor, 20)) {
            assertTrue(System.nanoTime() < deadline, "nothing permitted within 20 s");
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }
}
