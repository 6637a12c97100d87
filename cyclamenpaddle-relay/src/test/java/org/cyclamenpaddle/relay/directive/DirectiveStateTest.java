package org.cyclamenpaddle.relay.directive;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests which responses set, change and lift a directive. */
public class DirectiveStateTest {

    private static final Directives UNREADABLE =
            new Directives(OptionalDouble.empty(), true, OptionalLong.empty(), false);

    private static Directives limit(double perSecond) {
        return new Directives(OptionalDouble.of(perSecond), false, OptionalLong.empty(), false);
    }

    private static List<DirectiveChange> change(String value) {
        return List.of(new DirectiveChange(DirectiveKind.LIMIT, value));
    }

    @Test
    public void limitIsReportedOnceAndWhenItChanges() {
        DirectiveState state = new DirectiveState();
        assertEquals(state.apply(Directives.NONE, 0, 5), List.of());
        assertEquals(state.apply(limit(1.4), 10, 15), change("1.4"));
        assertEquals(state.apply(limit(1.4), 20, 25), List.of());
        assertEquals(state.apply(limit(0.2), 30, 35), change("0.2"));
        assertEquals(state.apply(Directives.NONE, 40, 45), change("none"));
        assertEquals(state.apply(limit(3), 50, 55), change("3.0"));
    }

    /** A response that was sent before the limit arrives after it and lifts it. */
    @Test
    public void olderResponseWithoutALimitDoesNotLiftIt() {
        DirectiveState state = new DirectiveState();
        state.apply(limit(1.4), 10, 15);
        assertEquals(state.apply(Directives.NONE, 14, 900), List.of());
        assertEquals(state.apply(Directives.NONE, 15, 900), change("none"));
    }

    private static Directives pause(long millis) {
        return new Directives(OptionalDouble.empty(), false, OptionalLong.of(millis), false);
    }

    /** A shorter time in a later response ends a pause early. */
    @Test
    public void pauseLastsUntilTheLatestEndThatWasAskedFor() {
        DirectiveState state = new DirectiveState();
        state.apply(pause(3_000), 0, 100);
        state.apply(pause(500), 50, 200);
        state.apply(Directives.NONE, 300, 400);
        assertFalse(state.acceptsCalls(3_099));
        assertFalse(state.tryUse(1, 3_099));
        assertTrue(state.tryUse(1, 3_100));
    }

    /** A pause or a limit alone permits calls while the other one forbids them. */
    @Test
    public void pauseAndLimitHoldTogether() {
        DirectiveState state = new DirectiveState();
        Directives both = new Directives(OptionalDouble.of(1), false, OptionalLong.of(100), false);
        state.apply(both, 0, 10);
        assertFalse(state.permits(1, 200), "not paused, but without a permit");
        state.recordPermits(2, 0, 200);
        state.apply(both, 210, 220);
        assertFalse(state.permits(1, 319), "permitted, but paused");
        assertTrue(state.permits(1, 320));
    }

    /** A malformed value lifts the limit that is in force. */
    @Test
    public void unreadableValueNeitherSetsNorLiftsALimit() {
        DirectiveState state = new DirectiveState();
        assertEquals(state.apply(UNREADABLE, 0, 5), List.of());
        state.apply(limit(1.4), 10, 15);
        assertEquals(state.apply(UNREADABLE, 20, 25), List.of());
        assertEquals(state.apply(limit(1.4), 30, 35), List.of(), "the limit is still in force");
    }
}
