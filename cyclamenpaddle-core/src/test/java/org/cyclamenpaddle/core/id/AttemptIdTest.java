package org.cyclamenpaddle.core.id;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

public class AttemptIdTest {

    private static final Incarnation HOLDER = new Incarnation(new HostId("ahm-1"), 1_700L);

    @Test
    public void namesItsHolder() {
        assertEquals(AttemptId.of(HOLDER, 12).holder(), Optional.of(HOLDER));
    }

    @Test
    public void identifierOfAnotherFormatHasNoHolder() {
        assertTrue(new AttemptId("someone-elses").holder().isEmpty());
        assertTrue(new AttemptId("a:b:c").holder().isEmpty());
    }

    @Test
    public void rejectsTextWithSlash() {
        assertThrows(IllegalArgumentException.class, () -> new AttemptId("a/b"));
    }
}
