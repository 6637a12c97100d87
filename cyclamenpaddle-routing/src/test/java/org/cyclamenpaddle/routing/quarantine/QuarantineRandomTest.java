package org.cyclamenpaddle.routing.quarantine;

import static org.cyclamenpaddle.routing.Fixtures.id;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.StrikeNotice;
import org.cyclamenpaddle.routing.Fixtures;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class QuarantineRandomTest {

    private static final int SERVERS = 12;
    private static final long CULPRIT = 1_000_000;

    private record Run(long fingerprint, BackendId server) {}

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /**
     * A request crashes each server that runs it and is sent again and again among hundreds of
     * others, some of them sent again after running on the crashed servers. The second crash must
     * be the last one, and only the culprit may be refused.
     */
    @Test(dataProvider = "seeds")
    public void culpritCrashesTwoServersAndNoOtherRequestIsRefused(long seed) {
        UniformRandomProvider random = Fixtures.random(seed);
        Quarantine quarantine = new Quarantine(new QuarantineSettings(2, 10_000_000, 500));
        Quarantine peer = new Quarantine(new QuarantineSettings(2, 10_000_000, 500));
        List<StrikeNotice> notices = new ArrayList<>();
        List<Run> running = new ArrayList<>();
        int crashes = 0;
        for (int step = 0; step < 5_000; step++) {
            long fingerprint = random.nextInt(20) == 0 ? CULPRIT : random.nextInt(200);
            BackendId server = id(random.nextInt(SERVERS));
            Verdict verdict = quarantine.mayRun(fingerprint, server, step);
            assertTrue(verdict != Verdict.QUARANTINED || fingerprint == CULPRIT);
            if (verdict != Verdict.MAY_RUN) {
                continue;
            }
            quarantine.started(fingerprint, server);
            running.add(new Run(fingerprint, server));
            if (fingerprint == CULPRIT) {
                crashes++;
                Set<Long> victims = quarantine.runningOn(server);
                notices.addAll(quarantine.onBackendCrashed(server, victims, 0));
                running.removeIf(run -> ends(quarantine, run, run.server().equals(server)));
            }
            running.removeIf(run -> ends(quarantine, run, random.nextInt(30) == 0));
        }
        assertEquals(crashes, 2);

        List<StrikeNotice> shuffled = new ArrayList<>(notices);
        shuffled.addAll(notices);
        Collections.shuffle(shuffled, new Random(seed));
        shuffled.forEach(notice -> peer.merge(notice, 0));
        assertEquals(peer.notices(0), quarantine.notices(0));
    }

    private static boolean ends(Quarantine quarantine, Run run, boolean over) {
        if (over) {
            quarantine.ended(run.fingerprint(), run.server());
        }
        return over;
    }
}
