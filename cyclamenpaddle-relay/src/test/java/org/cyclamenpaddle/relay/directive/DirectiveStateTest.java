package org.cyclamenpaddle.relay.directive;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests which responses set, change and lift a directive. */
public class DirectiveStateTest {

    private static final Directives UNREADABLE =
            new Directives(OptionalDouble.empty(), true, OptionalLong.empty());

    private static Directives limit(double perSecond) {
        return new Directives(OptionalDouble.of(perSecond), false, OptionalLong.empty());
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
