package org.cyclamenpaddle.relay.quota;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.TeamName;
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

    private record Report(HostId owner, QuotaRequest request, long timeoutMillis) {}

    private static final int DELAY_GRANULARITY_MILLIS = 1;

    private final Supplier<QuotaMembers> mMembers;
    private final QuotaLender mLender;
    private final QuotaTransport mTransport;
    private final QuotaBorrower.EntryRule mEntry;
    private final DelayedTasks mDelayed;
    private final RelayEventLog mLog;
    private final Clock mClock;
    private final Table<State> mTable = new Table<>(TableOrder.QUOTA_ACCOUNTS, new State());

    /**
     * Creates a client that holds nothing.
     *
     * @param entry whether a request runs that no owner has decided about
     * @param delayed runs tasks after a time
     */
    QuotaClient(
            Supplier<QuotaMembers> members,
            QuotaLender lender,
            QuotaTransport transport,
            QuotaBorrower.EntryRule entry,
            DelayedTasks delayed,
            RelayEventLog log,
            Clock clock) {
        mMembers = members;
        mLender = lender;
        mTransport = transport;
        mEntry = entry;
        mDelayed = delayed;
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
        if (decision instanceof QuotaDecision.Pending) {
            mDelayed.run(() -> expire(shard), QuotaBorrower.WAIT_MILLIS + DELAY_GRANULARITY_MILLIS);
        } else {
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

    /**
     * Reports to the owners of the shards for which a regular report is due. A host also reports on
     * shards that it uses nothing of, because owners reserve a part of the limits for hosts that do
     * not report; but not on shards without a limit.
     *
     * @param limited teams that have a quota
     */
    void reportDue(Set<TeamName> limited) {
        int hosts = mMembers.get().hostCount();
        long activeMillis = QuotaTiming.reportMillis(hosts);
        long idleMillis = QuotaTiming.idleReportMillis(hosts);
        long now = mClock.millis();
        limited.stream()
                .mapToInt(QuotaMembers::shard)
                .distinct()
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
        HostId owner = state.mOwners.choose(members.candidates(shard), now);
        QuotaBorrower<Consumer<QuotaDecision>> borrower = state.mBorrowers.get(shard);
        boolean probe = state.mOwners.hasFailed(owner) && borrower.usesDeputies(now);
        return Optional.of(
                new Report(
                        owner,
                        borrower.report(owner, now),
                        probe ? QuotaBorrower.PROBE_MILLIS : QuotaTiming.TIMEOUT_MILLIS));
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
        return mTransport.send(owner, report.request(), report.timeoutMillis());
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
        if (response.isLeft()) {
            report(shard);
        } else if (response.get().primary()) {
            reportIfWaiting(shard);
        } else {
            mDelayed.run(() -> reportIfWaiting(shard), QuotaBorrower.ASK_AGAIN_MILLIS);
        }
    }

    private void reportIfWaiting(int shard) {
        if (mTable.read(state -> state.mBorrowers.get(shard).hasWaiting())) {
            report(shard);
        }
    }

    /** Decides about requests that have waited for an owner as long as they may. */
    private void expire(int shard) {
        List<QuotaBorrower.Settled<Consumer<QuotaDecision>>> settled =
                mTable.read(state -> state.mBorrowers.get(shard).expire(mEntry, mClock.millis()));
        if (settled.isEmpty()) {
            return;
        }
        long admitted =
                settled.stream()
                        .filter(request -> request.decision() instanceof QuotaDecision.Admitted)
                        .count();
        mLog.log(RelayEvent.QUOTA_UNANSWERED, shard, admitted, settled.size() - admitted);
        settled.forEach(request -> request.request().accept(request.decision()));
    }
}
