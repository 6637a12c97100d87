package org.cyclamenpaddle.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

public class ObjectStoreTest {

    @Test
    public void versionsIncreaseAcrossDeletionAndRecreation() {
        ObjectStore store = new ObjectStore(100);
        long first = store.put("a", "1", 0).version();
        long deleted = store.delete("a", first).version();
        long second = store.put("a", "2", 0).version();
        assertTrue(first < deleted && deleted < second);
    }

    @Test
    public void failedConditionalWriteReturnsTheConflictingObject() {
        ObjectStore store = new ObjectStore(100);
        long version = store.put("a", "1", 0).version();
        ObjectStore.WriteResult lost = store.put("a", "2", 0);
        assertFalse(lost.done());
        assertEquals(lost.found().orElseThrow().version(), version);
        assertFalse(store.put("none", "2", 5).done());
        assertEquals(store.delete("none", 5).found(), Optional.empty());
        assertEquals(store.read("a").orElseThrow().value(), "1");
    }

    @Test
    public void watchWaitsForItsPrefixOnly() {
        ObjectStore store = new ObjectStore(100);
        CompletableFuture<ObjectStore.WatchResponse> watch = store.watch("a/", 0).orElseThrow();
        store.put("b/1", "x", 0);
        assertFalse(watch.isDone());
        store.put("a/1", "y", 0);
        assertEquals(watch.join().revision(), 2);
        assertEquals(
                watch.join().events(), List.of(new ObjectStore.WatchEvent("a/1", 2, false, "y")));
    }

    @Test
    public void watchFromACompactedRevisionIsRejected() {
        ObjectStore store = new ObjectStore(2);
        store.put("a", "1", 0);
        store.put("b", "1", 0);
        store.put("c", "1", 0);
        assertEquals(store.watch("", 0), Optional.empty());
        assertEquals(store.watch("", 1).orElseThrow().join().events().size(), 2);
    }
}
