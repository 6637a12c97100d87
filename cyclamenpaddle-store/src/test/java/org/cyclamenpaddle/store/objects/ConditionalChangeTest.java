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
    private static final int TRIES = 3;
    private static final PresetSpec SPEC = new PresetSpec(new PresetName("peak"), "", List.of());

    private final ConfigurationCodec mCodec = new ConfigurationCodec();

    @Test
    public void lostAnswerOfChangeThatTookEffectIsSettledByReadBack() {
        // The operator would be told that another change won, though it is their own. The write
        // takes effect, its answer is lost, the next try meets a conflict, and the change id in the
        // object that stands says whose it is.
        FaultyStore store = store(Fault.ANSWER_LOST, Fault.NONE);
        assertEquals(create(store, "mine"), accepted(11));
        assertEquals(store.history().size(), 1);
    }

    @Test
    public void lostDeletionIsSettledByAbsence() {
        FaultyStore store = store(Fault.NONE, Fault.ANSWER_LOST, Fault.NONE);
        create(store, "mine");
        assertEquals(
                change(store).delete(FaultyStore.KEY, 11).join(),
                Either.right(new ChangeResult.Accepted(OptionalLong.empty())));
    }

    @Test
    public void loserIsToldTheWinner() {
        FaultyStore store = store(Fault.NONE, Fault.NONE);
        create(store, "theirs");
        assertEquals(
                create(store, "mine"),
                Either.right(new ChangeResult.Conflict(store.current(), false)));
    }

    @Test
    public void changeThatIsNeverSettledTellsThatItMayStand() {
        FaultyStore store =
                store(Fault.ANSWER_LOST, Fault.NOT_CONNECTED, Fault.NOT_CONNECTED, Fault.NONE);
        assertTrue(create(store, "mine").getLeft().mayHaveTakenEffect());
        assertEquals(store.writes(), TRIES);
        assertFalse(
                create(store(Fault.NOT_CONNECTED, Fault.NOT_CONNECTED, Fault.NOT_CONNECTED), "x")
                        .getLeft()
                        .mayHaveTakenEffect());
        FaultyStore refusing = store(Fault.REFUSED);
        assertFalse(create(refusing, "mine").getLeft().mayHaveTakenEffect());
        assertEquals(refusing.writes(), 1);
    }

    @Test
    public void whatIsToldOfChangesIsTrueUnderAnyFaults() {
        // Operators race while answers and asks are lost at random. What each is told must agree
        // with what the store did: accepted was written, and a plain loser never was.
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        FaultyStore store =
                new FaultyStore(() -> Fault.values()[random.nextInt(Fault.values().length)]);
        int accepted = 0;
        for (int i = 0; i < CHANGES; i++) {
            ChangeId id = new ChangeId("change-" + i);
            long seen = store.current().map(StoredObject::version).orElse(0L);
            // Some operators saw an older version than the one that stands.
            long from = random.nextInt(4) == 0 ? Math.max(0, seen - 1) : seen;
            WritePrecondition precondition =
                    from == 0 ? WritePrecondition.absent() : WritePrecondition.atVersion(from);
            int before = store.history().size();
            Either<PlatformError, ChangeResult> told =
                    change(store).put(FaultyStore.KEY, id, SPEC, precondition).join();
            int written = store.history().size() - before;
            assertTrue(written <= 1, id + " was written " + written + " times");
            accepted += checkTold(store, told, written) ? 1 : 0;
        }
        assertTrue(accepted > 0 && accepted < CHANGES, accepted + " accepted");
    }

    private static boolean checkTold(
            FaultyStore store, Either<PlatformError, ChangeResult> told, int written) {
        if (told.isLeft()) {
            assertTrue(written == 0 || told.getLeft().mayHaveTakenEffect());
            return false;
        }
        if (told.get() instanceof ChangeResult.Accepted accepted) {
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
        return new ConditionalChange(store, mCodec, TRIES, 0);
    }

    private static Either<PlatformError, ChangeResult> accepted(long version) {
        return Either.right(new ChangeResult.Accepted(OptionalLong.of(version)));
    }

    private static FaultyStore store(Fault... faults) {
        Queue<Fault> left = new ArrayDeque<>(List.of(faults));
        return new FaultyStore(left::remove);
    }
}
