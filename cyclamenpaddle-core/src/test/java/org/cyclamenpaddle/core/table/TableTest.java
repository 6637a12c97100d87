package org.cyclamenpaddle.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.testng.annotations.Test;

public class TableTest {

    private final Table<int[]> mHosts = new Table<>(TableOrder.HOSTS, new int[1]);
    private final Table<int[]> mGrants = new Table<>(TableOrder.GRANTS, new int[1]);

    @Test
    public void acquiresLocksInDeclaredOrder() {
        mHosts.write(hosts -> mGrants.write(grants -> grants[0] = hosts[0] + 1));

        assertEquals(mGrants.read(grants -> grants[0]).intValue(), 1);
    }

    @Test
    public void rejectsLocksAgainstDeclaredOrder() {
        assertThrows(
                BrokenInvariantException.class,
                () -> mGrants.write(grants -> mHosts.write(hosts -> hosts[0] = 1)));
    }

    @Test
    public void releasesLocksAfterFailure() {
        assertThrows(
                BrokenInvariantException.class,
                () -> mGrants.write(grants -> mHosts.write(hosts -> hosts[0] = 1)));

        mHosts.write(hosts -> mGrants.write(grants -> grants[0] = 7));

        assertEquals(mGrants.read(grants -> grants[0]).intValue(), 7);
    }
}
