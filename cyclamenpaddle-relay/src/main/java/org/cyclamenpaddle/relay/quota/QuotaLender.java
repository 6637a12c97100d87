package org.cyclamenpaddle.relay.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.routing.limit.QuotaBounds;
import org.cyclamenpaddle.routing.limit.QuotaLimit;
import org.cyclamenpaddle.routing.limit.QuotaShard;

/** Lends units to all hosts from the shards that this host owns. Thread-safe. */
final class QuotaLender {

    private final Supplier<QuotaMembers> mMembers;
    private final Function<TeamName, Optional<QuotaLimit>> mLimits;
    private final Clock mClock;
    private final Table<List<QuotaShard>> mShards;

    /**
     * Creates a lender that has lent nothing.
     *
     * @param members hosts that share quotas
     * @param limits limits in force; empty for a team without one
     */
    QuotaLender(
            QuotaBounds bounds,
            Supplier<QuotaMembers> members,
            Function<TeamName, Optional<QuotaLimit>> limits,
            Clock clock) {
        mMembers = members;
        mLimits = limits;
        mClock = clock;
        List<QuotaShard> shards = new ArrayList<>();
        for (int shard = 0; shard < QuotaMembers.SHARDS; shard++) {
            shards.add(new QuotaShard(bounds, clock.millis()));
        }
        mShards = new Table<>(TableOrder.QUOTA_SHARDS, shards);
    }

    /** Returns the response to a host's report; empty if it names no shard of this build. */
    Optional<QuotaResponse> lend(HostId from, QuotaRequest request) {
        if (request.shard() >= QuotaMembers.SHARDS) {
            return Optional.empty();
        }
        QuotaMembers members = mMembers.get();
        QuotaShard.Fleet fleet =
                new QuotaShard.Fleet(
                        members.counted() && members.isPrimary(request.shard()),
                        members.hosts(),
                        members.hostCount(),
                        QuotaTiming.silentMillis(members.hostCount()),
                        QuotaTiming.idleSilentMillis(members.hostCount()));
        return Optional.of(
                mShards.read(
                        shards ->
                                shards.get(request.shard())
                                        .lend(from, request, fleet, mLimits, mClock.millis())));
    }
}
