package org.cyclamenpaddle.routing.limit;

import static org.cyclamenpaddle.routing.Fixtures.SERVICE;
import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.routing.queue.TeamShares;
import org.testng.annotations.Test;

public class ConcurrencyLimitTest {

    private static final TeamName BUSY = new TeamName("loud");

    private static ConcurrencyLimit limit() {
        return new ConcurrencyLimit(new ConcurrencyLimit.Settings(10, 0.5), TeamShares.EQUAL);
    }

    private static Optional<RefusalReason> begin(ConcurrencyLimit limit, int id, TeamName team) {
        return limit.begin(new RequestId("request-" + id), SERVICE, team).map(Refusal::reason);
    }

    /**
     * One team sends more than its share while the service is nearly full. It must get a 429, and
     * each of five other teams must still be served; without shares the first team would hold all
     * ten slots.
     */
    @Test
    public void busyTeamLeavesCapacityToOthers() {
        ConcurrencyLimit limit = limit();
        for (int i = 0; i < 5; i++) {
            assertEquals(begin(limit, i, BUSY), Optional.empty());
        }
        assertEquals(begin(limit, 50, new TeamName("quiet")), Optional.empty());
        assertEquals(begin(limit, 51, BUSY), Optional.of(RefusalReason.TEAM_LIMIT));
        for (int team = 0; team < 4; team++) {
            assertEquals(begin(limit, 100 + team, new TeamName("team-" + team)), Optional.empty());
        }
        assertEquals(
                begin(limit, 200, new TeamName("last")), Optional.of(RefusalReason.QUEUE_FULL));
    }

    @Test
    public void singleTeamMayUseWholeService() {
        ConcurrencyLimit limit = limit();
        for (int i = 0; i < 10; i++) {
            assertEquals(begin(limit, i, BUSY), Optional.empty());
        }
        assertEquals(begin(limit, 10, BUSY), Optional.of(RefusalReason.QUEUE_FULL));
    }

    @Test
    public void beginAndEndAreIdempotent() {
        ConcurrencyLimit limit = limit();
        begin(limit, 1, BUSY);
        begin(limit, 1, BUSY);
        begin(limit, 2, BUSY);
        limit.end(new RequestId("request-1"));
        limit.end(new RequestId("request-1"));
        assertEquals(limit.inProgress(SERVICE), 1);
        limit.end(new RequestId("request-2"));
        assertEquals(limit.inProgress(SERVICE), 0);
    }
}
