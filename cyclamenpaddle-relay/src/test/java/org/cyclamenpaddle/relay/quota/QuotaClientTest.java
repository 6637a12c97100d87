package org.cyclamenpaddle.relay.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.OutputStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.settings.Endpoint;
import org.cyclamenpaddle.relay.team.QuotaUnit;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.relay.team.TeamQuota;
import org.cyclamenpaddle.routing.limit.OwnerChoice;
import org.cyclamenpaddle.routing.limit.QuotaBounds;
import org.cyclamenpaddle.routing.limit.QuotaDecision;
import org.cyclamenpaddle.routing.limit.QuotaLimit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a host reports, and how long its requests wait, without sockets or threads. */
public class QuotaClientTest {

    private static final QuotaLimit LIMIT = new QuotaLimit(200, 200);
    private static final Team TEAM =
            new Team(
                    new TeamName("desk"),
                    OptionalInt.empty(),
                    Optional.of(new TeamQuota(LIMIT, QuotaUnit.REQUESTS, 0)));
    private static final int SHARD = QuotaMembers.shard(TEAM.name());

    private record Task(Runnable work, long atMillis) {}

    private final AtomicLong mMillis = new AtomicLong();
    private final List<QuotaRequest> mSent = new ArrayList<>();
    private final List<Task> mTasks = new ArrayList<>();
    private final List<QuotaDecision> mDecisions = new ArrayList<>();
    private CompletableFuture<Either<OwnerChoice.FailureKind, QuotaResponse>> mResponse;
    private boolean mEnters;
    private QuotaClient mClient;

    /** Creates a client on a host that may not lend from the team's shard first. */
    @BeforeMethod
    public void create() {
        mMillis.set(10_000);
        mSent.clear();
        mTasks.clear();
        mDecisions.clear();
        mEnters = false;
        List<PeerAddress> hosts = IntStream.range(0, 12).mapToObj(QuotaClientTest::host).toList();
        QuotaMembers members =
                hosts.stream()
                        .map(self -> QuotaMembers.of(self, hosts))
                        .filter(view -> !view.candidates(SHARD).get(0).equals(view.self()))
                        .findFirst()
                        .orElseThrow();
        mClient =
                new QuotaClient(
                        () -> members,
                        new QuotaLender(
                                QuotaBounds.DEFAULTS,
                                () -> members,
                                team -> Optional.of(LIMIT),
                                mMillis::get),
                        (to, request, timeoutMillis) -> {
                            mSent.add(request);
                            return mResponse;
                        },
                        (team, cost) -> mEnters,
                        (work, delay) -> mTasks.add(new Task(work, mMillis.get() + delay)),
                        new RelayEventLog(OutputStream.nullOutputStream(), "h", Instant::now),
                        mMillis::get);
    }

    private static PeerAddress host(int number) {
        return new PeerAddress(
                new HostId("h-" + number),
                new FailureDomain("d-" + number % 3),
                new Endpoint("127.0.0.1", 7_000 + number));
    }

    private void passMillis(long millis) {
        long end = mMillis.get() + millis;
        while (mMillis.get() < end) {
            mMillis.incrementAndGet();
            List<Task> due =
                    mTasks.stream().filter(task -> task.atMillis() <= mMillis.get()).toList();
            mTasks.removeAll(due);
            due.forEach(task -> task.work().run());
        }
    }

    private static Either<OwnerChoice.FailureKind, QuotaResponse> grant(
            boolean primary, long units) {
        return Either.right(
                new QuotaResponse(
                        primary, List.of(new QuotaResponse.Grant(TEAM.name(), units, 700))));
    }

    /** Failure: hosts without quotas spend their time on reports that nobody needs. */
    @Test
    public void hostReportsOnShardsWithALimitOnly() {
        mResponse = new CompletableFuture<>();
        mClient.reportDue(Set.of());
        assertEquals(mSent, List.of());
        mClient.reportDue(Set.of(TEAM.name()));
        assertEquals(mSent.stream().map(QuotaRequest::shard).toList(), List.of(SHARD));
    }

    /** Failure: after a restart, a deputy that knows nothing yet denies requests. */
    @Test
    public void requestWaitsForThePrimaryOwnerWhileADeputyDenies() {
        mResponse = CompletableFuture.completedFuture(grant(false, 0));
        mClient.take(TEAM, 1, mDecisions::add);
        passMillis(100);
        assertEquals(mDecisions, List.of());
        assertTrue(mSent.size() <= 3, "asked " + mSent.size() + " times in 100 ms");
        mResponse = CompletableFuture.completedFuture(grant(true, 1));
        passMillis(1_000);
        assertEquals(mDecisions, List.of(QuotaDecision.ADMITTED));
    }

    /** Failure: a request waits without end for an owner that does not respond. */
    @Test
    public void requestIsDecidedOnceWhenItsWaitEnds() {
        mResponse = new CompletableFuture<>();
        mClient.take(TEAM, 1, mDecisions::add);
        passMillis(299);
        assertEquals(mDecisions, List.of());
        passMillis(2);
        assertEquals(mDecisions.size(), 1);
        assertTrue(mDecisions.get(0) instanceof QuotaDecision.Denied, mDecisions.toString());
        mResponse.complete(grant(true, 1));
        passMillis(1_000);
        assertEquals(mDecisions.size(), 1);
    }

    /** Failure: a host that has just started refuses the first request of a team. */
    @Test
    public void firstRequestOfATeamMayEnterWithoutAnOwner() {
        mEnters = true;
        mResponse = new CompletableFuture<>();
        mClient.take(TEAM, 1, mDecisions::add);
        mClient.take(TEAM, 1, mDecisions::add);
        passMillis(301);
        assertEquals(mDecisions.get(0), QuotaDecision.ADMITTED);
        assertTrue(mDecisions.get(1) instanceof QuotaDecision.Denied, mDecisions.toString());
    }
}
