package org.cyclamenpaddle.relay.quota;

import java.util.function.Consumer;
import org.cyclamenpaddle.relay.team.Team;
import org.cyclamenpaddle.routing.limit.QuotaDecision;

/** Admits requests against the quotas of their teams. Thread-safe. */
public interface TeamQuotas {

    /**
     * Takes the cost of a request from its team's quota.
     *
     * @param team team of the request
     * @param cost units that it costs
     * @param decided called once with {@link QuotaDecision.Admitted} or {@link
     *     QuotaDecision.Denied}, at once if possible, else on any thread
     */
    void take(Team team, long cost, Consumer<QuotaDecision> decided);

    /** Returns the cost of an admitted request that did not run. */
    void giveBack(Team team, long cost);
}
