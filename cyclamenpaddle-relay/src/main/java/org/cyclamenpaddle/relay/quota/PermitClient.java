package org.cyclamenpaddle.relay.quota;

import java.util.List;
import java.util.Optional;
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
     * Time after which a host asks again that does not know the other hosts, or reaches none of the
     * owners, in milliseconds.
     */
    private static final long NO_OWNER_RETRY_MILLIS = 500;

    private final Supplier<QuotaMembers> mMembers;
    private final PermitLender mLender;
    private final PermitTransport mTransport;
    private final Clock mClock;
    private final Table<OwnerChoice> mOwners =
            new Table<>(TableOrder.PERMIT_OWNERS, new OwnerChoice());

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
                ? request(request, members, owners, owners.size())
                : CompletableFuture.completedFuture(
                        new PermitResponse(false, NO_OWNER_RETRY_MILLIS));
    }

    private CompletableFuture<PermitResponse> request(
            PermitRequest request, QuotaMembers members, List<HostId> owners, int tries) {
        if (tries == 0) {
            return CompletableFuture.completedFuture(
                    new PermitResponse(false, NO_OWNER_RETRY_MILLIS));
        }
        HostId owner = mOwners.read(choice -> choice.choose(owners, mClock.millis()));
        if (owner.equals(members.self())) {
            return CompletableFuture.completedFuture(mLender.lend(request));
        }
        return mTransport
                .send(members.find(owner).orElseThrow(), request)
                .thenCompose(
                        response -> responded(request, members, owners, tries, owner, response));
    }

    private CompletableFuture<PermitResponse> responded(
            PermitRequest request,
            QuotaMembers members,
            List<HostId> owners,
            int tries,
            HostId owner,
            Optional<PermitResponse> response) {
        if (response.isPresent()) {
            mOwners.write(choice -> choice.recordSuccess(owner));
            return CompletableFuture.completedFuture(response.get());
        }
        mOwners.write(choice -> choice.recordFailure(owner, mClock.millis()));
        return request(request, members, owners, tries - 1);
    }
}
