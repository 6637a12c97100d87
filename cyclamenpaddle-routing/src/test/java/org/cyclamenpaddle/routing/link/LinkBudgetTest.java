package org.cyclamenpaddle.routing.link;

import static org.cyclamenpaddle.routing.Fixtures.attempt;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.routing.Fixtures;
import org.cyclamenpaddle.routing.schedule.Interval;
import org.testng.annotations.Test;

public class LinkBudgetTest {

    @Test
    public void transfersFollowOneAnother() {
        LinkBudget link = new LinkBudget(1_000);
        assertEquals(link.reserve(attempt(1), 100, 50), new Interval(100, 150));
        assertEquals(link.reserve(attempt(2), 100, 50), new Interval(150, 200));
        assertEquals(link.reserve(attempt(3), 0, 100), new Interval(0, 100));
        assertEquals(link.reserve(attempt(1), 0, 50), new Interval(100, 150), "unchanged");
        assertEquals(link.freeAt(0), 200);
    }

    @Test
    public void releasedTimeIsUsedAgain() {
        LinkBudget link = new LinkBudget(1_000);
        link.reserve(attempt(1), 0, 50);
        link.reserve(attempt(2), 0, 50);
        link.release(attempt(1));
        link.release(attempt(1));
        assertEquals(link.preview(0, 60), new Interval(100, 160));
        assertEquals(link.preview(0, 50), new Interval(0, 50));
    }

    @Test
    public void reservationsNeverOverlap() {
        UniformRandomProvider random = Fixtures.random(7);
        LinkBudget link = new LinkBudget(1_000);
        List<Interval> held = new ArrayList<>();
        List<Long> holders = new ArrayList<>();
        for (long number = 0; number < 5_000; number++) {
            Interval span =
                    link.reserve(attempt(number), random.nextInt(2_000), random.nextInt(40));
            for (Interval other : held) {
                boolean apart =
                        span.endMillis() <= other.startMillis()
                                || other.endMillis() <= span.startMillis();
                assertFalse(!apart && span.lengthMillis() * other.lengthMillis() > 0);
            }
            held.add(span);
            holders.add(number);
            if (held.size() > 30) {
                int released = random.nextInt(held.size());
                link.release(attempt(holders.remove(released)));
                held.remove(released);
            }
        }
    }
}
