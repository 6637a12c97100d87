package org.cyclamenpaddle.core.id;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against an identifier whose own equality differs from that of its text. */
public class IdentifierEqualityTest {

    private static final List<Function<String, Object>> TYPES =
            List.of(
                    FailureDomain::new,
                    HostId::new,
                    TeamName::new,
                    ServiceName::new,
                    BackendId::new);

    @DataProvider
    public Object[][] types() {
        return TYPES.stream().map(type -> new Object[] {type}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "types")
    public void equalExactlyIfTheTextIsEqual(Function<String, Object> type) {
        Object value = type.apply("a-1");
        assertEquals(value, type.apply("a-" + 1));
        assertEquals(value.hashCode(), type.apply("a-" + 1).hashCode());
        assertNotEquals(value, type.apply("a-2"));
        assertNotEquals(value, "a-1");
        assertNotEquals(value, null);
    }

    /** Failure: a map of one kind of identifier would find an entry for another kind. */
    @Test
    public void differFromOtherTypesWithTheSameText() {
        assertEquals(TYPES.stream().map(type -> type.apply("a")).distinct().count(), TYPES.size());
    }
}
