package org.cyclamenpaddle.routing.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.testng.annotations.Test;

/** Tests what is remembered of the beginnings of streams, and for how long. */
public class StreamBeginningsTest {

    private static final SoftwareVersion V1 = new SoftwareVersion("v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("v2");
    private static final StreamKey STREAM = new StreamKey(7);
    private static final int MAX_ENTRIES = 3;

    private final StreamBeginnings mMemory = new StreamBeginnings(MAX_ENTRIES);

    private static StreamBeginning begun(long stream, SoftwareVersion version, long millis) {
        return new StreamBeginning(new StreamKey(stream), version, millis);
    }

    /** A stream goes on at the version that was reported last, or first, by chance. */
    @Test
    public void streamThatIsReportedWithTwoVersionsIsUnknown() {
        StreamBeginnings memory = new StreamBeginnings(MAX_ENTRIES);
        memory.record(begun(7, V1, 100), 0);
        assertEquals(memory.find(STREAM, 1), Optional.of(V1));
        memory.record(begun(7, V2, 100), 2);
        memory.record(begun(7, V2, 100), 3);
        assertEquals(memory.find(STREAM, 4), Optional.empty());
        assertTrue(memory.all(4).isEmpty());
    }

    /** A stream is forgotten while its caller may still take it up, or never. */
    @Test
    public void beginningIsRememberedForItsTime() {
        StreamBeginnings memory = new StreamBeginnings(MAX_ENTRIES);
        memory.record(begun(7, V1, 100), 0);
        memory.record(begun(7, V1, 20), 50);
        assertEquals(memory.find(STREAM, 99), Optional.of(V1));
        assertEquals(memory.all(60).get(0).remainingMillis(), 40);
        assertEquals(memory.find(STREAM, 100), Optional.empty());
        memory.expire(100);
        assertEquals(memory.size(), 0);
        assertEquals(memory.dropped(), 0);
    }

    /** The memory grows with the callers, or what it drops is taken for another version. */
    @Test
    public void oldestBeginningsAreDroppedBeyondTheBound() {
        mMemory.record(begun(1, V1, 1_000), 0);
        mMemory.record(begun(2, V1, 1_000), 1);
        mMemory.record(begun(3, V1, 1_000), 2);
        mMemory.record(begun(1, V1, 1_000), 3);
        mMemory.record(begun(4, V2, 1_000), 4);
        assertEquals(mMemory.size(), MAX_ENTRIES);
        assertEquals(mMemory.dropped(), 1);
        assertEquals(mMemory.find(new StreamKey(2), 5), Optional.empty());
        assertEquals(mMemory.find(new StreamKey(1), 5), Optional.of(V1));
    }

    /** An attempt at another service, or a beginning that is unknown, permits any version. */
    @Test
    public void bindingPermitsOnlyTheVersionThatBegan() {
        assertTrue(StreamBinding.ANY.permits(V2));
        assertTrue(StreamBinding.to(V1).permits(V1));
        assertTrue(!StreamBinding.to(V1).permits(V2));
        assertTrue(!StreamBinding.to(V1).permits(SoftwareVersion.UNSPECIFIED));
        assertTrue(!StreamBinding.UNKNOWN.permits(SoftwareVersion.UNSPECIFIED));
        assertEquals(StreamBinding.to(Optional.empty()), StreamBinding.UNKNOWN);
        StreamKey key = StreamKey.of(new ServiceName("a"), "r1");
        assertEquals(key, StreamKey.of(new ServiceName("a"), "r1"));
        assertTrue(!key.equals(StreamKey.of(new ServiceName("b"), "r1")));
    }
}
