package org.cyclamenpaddle.store.objects;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Queue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.PresetSpec;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.store.codec.ConfigurationCodec;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.FaultyStore.Fault;
import org.testng.annotations.Test;

public class ConditionalChangeTest {

    private static final long SEED = 20_261_205L;
    private static final int CHANGES = 20_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final PresetSpec SPEC = new PresetSpec(new PresetName("peak"), "", List.of());

    private final ConfigurationCodec mCodec = new ConfigurationCodec();

    @Test
    public void lostResponseOfAppliedChangeIsResolvedByChangeId() {
        // A write takes effect, its response is lost, and the retry conflicts with it. The change
        // id in the current object must resolve this, or the operator would see a conflict with
        // their own change.
        FaultyStore store = store(Fault.RESPONSE_LOST, Fault.NONE);
        assertEquals(create(store, "mine"), accepted(11));
        assertEquals(store.history().size(), 1);
    }

    @Test
    public void lostResponseOfDeletionIsResolvedByAbsence() {
        FaultyStore store = store(Fault.NONE, Fault.RESPONSE_LOST, Fault.NONE);
        create(store, "mine");
        assertEquals(
                change(store).delete(FaultyStore.KEY, 11).join(),
                Either.right(new ChangeResult.Accepted(OptionalLong.empty())));
    }

    @Test
    public void conflictReportsTheStoredObject() {
        FaultyStore store = store(Fault.NONE, Fault.NONE);
        create(store, "theirs");
        assertEquals(
                create(store, "mine"),
                Either.right(new ChangeResult.Conflict(store.current(), false)));
    }

    @Test
    public void unresolvedChangeReportsThatItMayHaveTakenEffect() {
        FaultyStore store =
                store(Fault.RESPONSE_LOST, Fault.NOT_CONNECTED, Fault.NOT_CONNECTED, Fault.NONE);
        assertTrue(create(store, "mine").getLeft().mayHaveTakenEffect());
        assertEquals(store.writes(), MAX_ATTEMPTS);
        assertFalse(
                create(store(Fault.NOT_CONNECTED, Fault.NOT_CONNECTED, Fault.NOT_CONNECTED), "x")
                        .getLeft()
                        .mayHaveTakenEffect());
        FaultyStore rejecting = store(Fault.REJECTED);
        assertFalse(create(rejecting, "mine").getLeft().mayHaveTakenEffect());
        assertEquals(rejecting.writes(), 1);
    }

    @Test
    public void reportedOutcomesMatchTheStoreUnderRandomFaults() {
        // Operators race while requests and responses are lost at random. Each reported outcome
        // must match the store: an accepted change was written, and a change with a conflict was
        // not.
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        FaultyStore store =
                new FaultyStore(() -> Fault.values()[random.nextInt(Fault.values().length)]);
        int accepted = 0;
        for (int i = 0; i < CHANGES; i++) {
            ChangeId id = new ChangeId("change-" + i);
            long currentVersion = store.current().map(StoredObject::version).orElse(0L);
            // Some operators saw an older version than the current one.
            long expectedVersion =
                    random.nextInt(4) == 0 ? Math.max(0, currentVersion - 1) : currentVersion;
            WritePrecondition precondition =
                    expectedVersion == 0
                            ? WritePrecondition.absent()
                            : WritePrecondition.atVersion(expectedVersion);
            int before = store.history().size();
            Either<PlatformError, ChangeResult> reported =
                    change(store).put(FaultyStore.KEY, id, SPEC, precondition).join();
            int written = store.history().size() - before;
            assertTrue(written <= 1, id + " was written " + written + " times");
            accepted += checkReported(store, reported, written) ? 1 : 0;
        }
        assertTrue(accepted > 0 && accepted < CHANGES, accepted + " accepted");
    }

    private static boolean checkReported(
            FaultyStore store, Either<PlatformError, ChangeResult> reported, int written) {
        if (reported.isLeft()) {
            assertTrue(written == 0 || reported.getLeft().mayHaveTakenEffect());
            return false;
        }
        if (reported.get() instanceof ChangeResult.Accepted accepted) {
            assertEquals(written, 1);
            assertEquals(accepted.version().getAsLong(), store.current().orElseThrow().version());
            return true;
        }
        assertEquals(written, 0);
        return false;
    }

    private Either<PlatformError, ChangeResult> create(FaultyStore store, String id) {
        return change(store)
                .put(FaultyStore.KEY, new ChangeId(id), SPEC, WritePrecondition.absent())
                .join();
    }

    private ConditionalChange change(FaultyStore store) {
        return new ConditionalChange(store, mCodec, MAX_ATTEMPTS, 0);
    }

    private static Either<PlatformError, ChangeResult> accepted(long version) {
        return Either.right(new ChangeResult.Accepted(OptionalLong.of(version)));
    }

    private static FaultyStore store(Fault... faults) {
        Queue<Fault> remaining = new ArrayDeque<>(List.of(faults));
        return new FaultyStore(remaining::remove);
    }
}
