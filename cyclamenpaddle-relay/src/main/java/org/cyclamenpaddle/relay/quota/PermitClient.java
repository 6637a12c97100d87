package org.cyclamenpaddle.relay.quota;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.routing.limit.OwnerChoice;

/** Asks the owners of limits for permits, and a deputy where the owner does not respond. */
final class PermitClient implements Permits {

    /**
     * Response for a host that does not know the other hosts, or reaches none of the owners; it
     * asks again after half a second.
     */
    private static final PermitResponse NO_OWNER = new PermitResponse(false, 500);

    /** Pauses of an owner that does not respond, in milliseconds. */
    private static final long MIN_PAUSE_MILLIS = 500;

    private static final long MAX_PAUSE_MILLIS = 4_000;

    private final Supplier<QuotaMembers> mMembers;
    private final PermitLender mLender;
    private final PermitTransport mTransport;
    private final Clock mClock;
    private final Table<OwnerChoice> mOwners =
            new Table<>(
                    TableOrder.PERMIT_OWNERS, new OwnerChoice(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));

    PermitClient(
            Supplier<QuotaMembers> members,
            PermitLender lender,
            PermitTransport transport,
            Clock clock) {
        mMembers = members;
        mLender = lender;
        mTransport = transport;
        mClock = clock;
    }

    @Override
    public CompletableFuture<PermitResponse> request(PermitRequest request) {
        QuotaMembers members = mMembers.get();
        List<HostId> owners = members.owners(PermitLender.subject(request));
        return members.counted()
                ? request(request, members, owners, Set.of())
                : CompletableFuture.completedFuture(NO_OWNER);
    }

    private CompletableFuture<PermitResponse> request(
            PermitRequest request, QuotaMembers members, List<HostId> owners, Set<HostId> silent) {
        HostId owner = mOwners.read(choice -> choice.choose(owners, mClock.millis()));
        if (silent.contains(owner)) {
            return CompletableFuture.completedFuture(NO_OWNER);
        }
        if (owner.equals(members.self())) {
            return CompletableFuture.completedFuture(mLender.lend(request));
        }
        return mTransport
                .send(members.find(owner).orElseThrow(), request)
                .thenCompose(
                        response -> {
                            recordOutcome(owner, response.isPresent());
                            return response.map(CompletableFuture::completedFuture)
                                    .orElseGet(
                                            () ->
                                                    request(
                                                            request,
                                                            members,
                                                            owners,
                                                            with(silent, owner)));
                        });
    }

    private void recordOutcome(HostId owner, boolean responded) {
        mOwners.write(
                choice -> {
                    if (responded) {
                        choice.recordSuccess(owner);
                    } else {
                        choice.recordFailure(
                                owner, OwnerChoice.FailureKind.NO_RESPONSE, mClock.millis());
                    }
                });
    }

    private static Set<HostId> with(Set<HostId> hosts, HostId host) {
        Set<HostId> all = new HashSet<>(hosts);
        all.add(host);
        return all;
    }
}
