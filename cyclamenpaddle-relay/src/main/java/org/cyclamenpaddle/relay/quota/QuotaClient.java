package org.cyclamenpaddle.relay.quota;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.routing.limit.OwnerChoice;
import org.cyclamenpaddle.routing.limit.QuotaBorrower;
import org.cyclamenpaddle.routing.limit.QuotaDecision;

/**
 * Admits this host's requests with units that it borrows from the owners of the shards.
 *
 * <p>Decisions are passed on outside of the lock. Thread-safe.
 */
final class QuotaClient implements TeamQuotas {

    private static final class State {
        private final List<QuotaBorrower<Consumer<QuotaDecision>>> mBorrowers = new ArrayList<>();
        private final boolean[] mInProgress = new boolean[QuotaMembers.SHARDS];
        private final OwnerChoice mOwners = QuotaBorrower.owners();

        private State() {
            for (int shard = 0; shard < QuotaMembers.SHARDS; shard++) {
                mBorrowers.add(new QuotaBorrower<>(shard));
            }
        }
    }

    private record Report(HostId owner, QuotaRequest request) {}

    private final Supplier<QuotaMembers> mMembers;
    private final QuotaLender mLender;
    private final QuotaTransport mTransport;
    private final RelayEventLog mLog;
    private final Clock mClock;
    private final Table<State> mTable = new Table<>(TableOrder.QUOTA_ACCOUNTS, new State());

    QuotaClient(
            Supplier<QuotaMembers> members,
            QuotaLender lender,
            QuotaTransport transport,
            RelayEventLog log,
            Clock clock) {
        mMembers = members;
        mLender = lender;
        mTransport = transport;
        mLog = log;
        mClock = clock;
    }

    @Override
    public void take(Team team, long cost, Consumer<QuotaDecision> decided) {
        if (team.quota().isEmpty()) {
            decided.accept(QuotaDecision.ADMITTED);
            return;
        }
        int shard = QuotaMembers.shard(team.name());
        long now = mClock.millis();
        QuotaDecision decision =
                mTable.read(
                        state -> state.mBorrowers.get(shard).take(team.name(), cost, decided, now));
        if (!(decision instanceof QuotaDecision.Pending)) {
            decided.accept(decision);
        }
        if (mTable.read(state -> state.mBorrowers.get(shard).needsUnits(now))) {
            report(shard);
        }
    }

    @Override
    public void giveBack(Team team, long cost) {
        if (team.quota().isPresent()) {
            int shard = QuotaMembers.shard(team.name());
            mTable.write(state -> state.mBorrowers.get(shard).giveBack(team.name(), cost));
        }
    }

    /** Reports to the owners of all shards for which a regular report is due. */
    void reportDue() {
        int hosts = mMembers.get().hostCount();
        long activeMillis = QuotaTiming.reportMillis(hosts);
        long idleMillis = QuotaTiming.idleReportMillis(hosts);
        long now = mClock.millis();
        IntStream.range(0, QuotaMembers.SHARDS)
                .filter(
                        shard ->
                                mTable.read(
                                        state ->
                                                state.mBorrowers
                                                        .get(shard)
                                                        .reportDue(activeMillis, idleMillis, now)))
                .forEach(this::report);
    }

    /** Reports to a shard's owner, unless a report to it is in progress. */
    private void report(int shard) {
        QuotaMembers members = mMembers.get();
        Optional<Report> begun = mTable.read(state -> begin(state, members, shard));
        begun.ifPresent(
                report ->
                        send(members, report)
                                .thenAccept(response -> ended(shard, report, response)));
    }

    private Optional<Report> begin(State state, QuotaMembers members, int shard) {
        if (state.mInProgress[shard]) {
            return Optional.empty();
        }
        state.mInProgress[shard] = true;
        long now = mClock.millis();
        return Optional.of(
                new Report(
                        state.mOwners.choose(members.candidates(shard), now),
                        state.mBorrowers.get(shard).report(now)));
    }

    private CompletableFuture<Either<OwnerChoice.FailureKind, QuotaResponse>> send(
            QuotaMembers members, Report report) {
        if (report.owner().equals(members.self())) {
            return CompletableFuture.completedFuture(
                    mLender.lend(members.self(), report.request())
                            .<Either<OwnerChoice.FailureKind, QuotaResponse>>map(Either::right)
                            .orElse(Either.left(OwnerChoice.FailureKind.NO_RESPONSE)));
        }
        HostRecord owner = members.find(report.owner()).orElseThrow();
        return mTransport.send(owner, report.request());
    }

    private void ended(
            int shard, Report report, Either<OwnerChoice.FailureKind, QuotaResponse> response) {
        long now = mClock.millis();
        List<QuotaBorrower.Settled<Consumer<QuotaDecision>>> settled = new ArrayList<>();
        boolean changed =
                mTable.read(
                        state -> {
                            state.mInProgress[shard] = false;
                            response.forEach(
                                    lent ->
                                            settled.addAll(
                                                    state.mBorrowers
                                                            .get(shard)
                                                            .apply(report.request(), lent, now)));
                            return response.fold(
                                    kind -> state.mOwners.recordFailure(report.owner(), kind, now),
                                    lent -> state.mOwners.recordSuccess(report.owner()));
                        });
        if (changed) {
            RelayEvent event =
                    response.isRight() ? RelayEvent.OWNER_REACHABLE : RelayEvent.OWNER_UNREACHABLE;
            mLog.log(event, report.owner(), shard);
        }
        settled.forEach(request -> request.request().accept(request.decision()));
        // After a failure the next owner gets the report even if nothing waits: a deputy can lend
        // a host's entitlement only after that host has reported to it.
        if (response.isLeft() || mTable.read(state -> state.mBorrowers.get(shard).hasWaiting())) {
            report(shard);
        }
    }
}
