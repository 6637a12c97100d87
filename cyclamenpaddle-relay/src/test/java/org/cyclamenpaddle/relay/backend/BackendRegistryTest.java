package org.cyclamenpaddle.relay.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the choice among backend servers and what outcomes do to it. */
public class BackendRegistryTest {

    private static final WorkSize SIZE = new WorkSize(5_000, 800);

    private BackendRegistry mBoard;

    @BeforeMethod
    public void makeBoard() {
        mBoard = new BackendRegistry(new FailureDomain("a"), CostSettings.DEFAULTS, () -> 0.5);
    }

    private void list(Backend... backends) {
        Map<BackendId, Backend> named = new HashMap<>();
        Stream.of(backends).forEach(backend -> named.put(backend.id(), backend));
        mBoard.applyListing(named, 0);
    }

    private Optional<Backend> place(long nowMillis) {
        return mBoard.select(Backends.SERVICE, SIZE, Set.of(), nowMillis);
    }

    private void end(Backend backend, SendOutcome outcome, long nowMillis) {
        mBoard.recordOutcome(backend, SIZE, false, outcome, nowMillis);
    }

    @Test
    public void ownDomainIsPreferredUntilItsWorkOutweighsTheWay() {
        Backend near = Backends.decode("near", "a");
        Backend far = Backends.decode("far", "b");
        list(near, far);
        assertEquals(place(0), Optional.of(near));
        assertEquals(place(0), Optional.of(far));
    }

    /**
     * A server stops answering. The next caller must not be the one to find that out again: the
     * server is left out, then gets one request as a trial, and more only when that succeeded.
     */
    @Test
    public void unreachableServerIsLeftOutAndThenTriedOnce() {
        Backend bad = Backends.decode("bad", "a");
        Backend good = Backends.decode("good", "b");
        list(bad, good);
        assertEquals(place(0), Optional.of(bad));
        end(bad, SendOutcome.NOT_SENT, 10);
        assertEquals(place(20), Optional.of(good));
        long later = 10 + BackendHealth.FIRST_EJECTION_MILLIS;
        end(good, SendOutcome.SUCCEEDED, 30);
        assertEquals(place(later), Optional.of(good), "its failure still makes it dearer");
        long muchLater = later + 30_000;
        assertEquals(place(muchLater), Optional.of(bad));
        assertEquals(place(muchLater), Optional.of(good), "one trial at a time");
        end(bad, SendOutcome.SUCCEEDED, muchLater + 10);
        assertEquals(place(muchLater + 20), Optional.of(bad));
    }

    /**
     * A route grants less time than its calls take, so that none of them is answered in time. The
     * servers are good, and callers of other routes must go on getting the best one; only a server
     * that is silent again and again, with no answer in between, is left out.
     */
    @Test
    public void oneSilenceDoesNotLeaveAServerOut() {
        Backend near = Backends.decode("near", "a");
        Backend far = Backends.decode("far", "b");
        list(near, far);
        for (int i = 0; i < 5; i++) {
            assertEquals(place(i * 100), Optional.of(near));
            end(near, SendOutcome.SILENT, i * 100 + 10);
            assertEquals(place(i * 100 + 20), Optional.of(near));
            end(near, SendOutcome.SUCCEEDED, i * 100 + 30);
        }
        place(1_000);
        end(near, SendOutcome.SILENT, 1_010);
        place(1_020);
        end(near, SendOutcome.SILENT, 1_030);
        assertEquals(place(1_040), Optional.of(far));
    }

    /**
     * An engine crashed and is back with another stage, which its entry does not say yet. It turns
     * the request away; the next one must not go there, although it is the nearest, until its entry
     * changes or should long have changed.
     */
    @Test
    public void serverThatDeniesItsEntryIsLeftOutUntilTheEntryChanges() {
        Backend reborn = Backends.decode("reborn", "a");
        Backend other = Backends.decode("other", "b");
        list(reborn, other);
        assertEquals(place(0), Optional.of(reborn));
        end(reborn, SendOutcome.MISDIRECTED, 10);
        for (int i = 0; i < 10; i++) {
            assertEquals(place(20 + i), Optional.of(other));
        }
        Backend corrected = Backends.of("reborn", "a", BackendStage.DECODE, 2, false);
        mBoard.applyChange(corrected.id(), Optional.of(corrected), 1_000);
        assertEquals(place(1_010), Optional.of(corrected));
        end(corrected, SendOutcome.MISDIRECTED, 1_020);
        assertEquals(place(1_030), Optional.of(other));
        long later = 1_020 + BackendState.OUTDATED_MILLIS;
        assertEquals(place(later), Optional.of(corrected));
    }

    /** Whether an engine is dark or only busy shows in what else it has answered meanwhile. */
    @Test
    public void answersOfOthersShowThatAServerIsAlive() {
        Backend busy = Backends.decode("busy", "a");
        list(busy);
        assertFalse(mBoard.respondedSince(busy, 0));
        mBoard.recordFirstByte(busy, SIZE, 40, 100);
        assertTrue(mBoard.respondedSince(busy, 100));
        assertFalse(mBoard.respondedSince(busy, 101));
    }

    /** All servers of a service look dead, most often because this host's own links are. */
    @Test
    public void wholeServiceIsNeverLeftOut() {
        Backend only = Backends.decode("only", "a");
        list(only);
        place(0);
        end(only, SendOutcome.UNKNOWN, 10);
        assertEquals(place(20), Optional.of(only));
    }

    @Test
    public void leavingServerGetsNothing() {
        Backend stays = Backends.decode("stays", "b");
        list(Backends.of("leaves", "a", BackendStage.DECODE, 1, true), stays);
        assertEquals(place(0), Optional.of(stays));
        list(Backends.of("leaves", "a", BackendStage.DECODE, 1, true));
        assertTrue(place(0).isEmpty() || !place(0).get().id().value().equals("leaves"));
    }

    /**
     * The store was away, and all entries lapsed meanwhile. Until they are back the servers known
     * before still serve; one that is missing while others are named is given nothing.
     */
    @Test
    public void lapsedEntriesServeWhileNoOtherIsNamed() {
        Backend first = Backends.decode("first", "a");
        Backend second = Backends.decode("second", "b");
        list(first, second);
        mBoard.applyChange(first.id(), Optional.empty(), 100);
        assertEquals(place(110), Optional.of(second));
        mBoard.applyChange(second.id(), Optional.empty(), 120);
        assertTrue(place(130).isPresent());
        assertTrue(place(120 + BackendDirectory.LAPSED_MILLIS).isEmpty());
    }

    @Test
    public void serverBornAnewKnowsNothingOfBefore() {
        Backend old = Backends.decode("one", "a");
        Backend other = Backends.decode("two", "b");
        list(old, other);
        place(0);
        end(old, SendOutcome.UNKNOWN, 10);
        Backend reborn = Backends.of("one", "a", BackendStage.DECODE, 2, false);
        mBoard.applyChange(reborn.id(), Optional.of(reborn), 20);
        assertEquals(place(30), Optional.of(reborn));
    }

    @Test
    public void promptGoesToAPrefillEngineThatIsFree() {
        Backend runner = Backends.decode("decode", "a");
        Backend reader = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(runner, reader);
        assertEquals(place(0), Optional.of(runner), "a prefill engine runs nothing");
        assertEquals(mBoard.selectPrefillEngine(runner, SIZE, 0), Optional.of(reader));
        assertEquals(mBoard.selectPrefillEngine(runner, WorkSize.PLAIN, 0), Optional.empty());
    }

    @Test
    public void promptIsReadInPlaceWherePrefillEnginesAreBusy() {
        Backend runner = Backends.decode("decode", "a");
        Backend reader = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(runner, reader);
        place(0);
        assertTrue(mBoard.selectPrefillEngine(runner, SIZE, 0).isPresent());
        Optional<Backend> third = mBoard.selectPrefillEngine(runner, SIZE, 0);
        assertFalse(third.isPresent(), "two prompts wait there, and the runner has none");
    }

    /**
     * A failure domain is cut off. After two of its servers were out of reach the others there are
     * not tried one by one; one request a second tries the domain, and its answer opens it again.
     */
    @Test
    public void domainOutOfReachIsLeftOutAsAWhole() {
        Backend one = Backends.decode("one", "a");
        Backend two = Backends.decode("two", "a");
        Backend three = Backends.decode("three", "a");
        Backend far = Backends.decode("far", "b");
        list(one, two, three, far);
        Backend first = place(0).orElseThrow();
        Backend second = place(0).orElseThrow();
        end(first, SendOutcome.NOT_SENT, 300);
        end(second, SendOutcome.NOT_SENT, 300);
        assertEquals(place(310), Optional.of(far));
        assertEquals(place(310), Optional.of(far));
        long trial = 300 + DomainConnectivity.TRIAL_MILLIS;
        Backend tried = place(trial).orElseThrow();
        assertEquals(tried.domain().value(), "a");
        assertEquals(place(trial + 1), Optional.of(far));
        end(tried, SendOutcome.SUCCEEDED, trial + 20);
        assertEquals(place(trial + 30), Optional.of(tried));
    }

    /**
     * Most engines of a large fleet are full. Asked by nearness alone, the few of the own failure
     * domain are asked again and again, and those with room in other domains never.
     */
    @Test
    public void enginesThatWereFullLongestAgoAreAskedFirst() {
        Backend near = Backends.decode("near", "a");
        Backend far = Backends.decode("far", "b");
        list(near, far);
        mBoard.recordFull(near, 0);
        long unmarked = BackendState.FULL_MILLIS;
        assertEquals(place(unmarked), Optional.of(far));
        end(far, SendOutcome.ABANDONED, unmarked);
        mBoard.recordFull(far, unmarked);
        assertEquals(place(2 * unmarked), Optional.of(near));
        end(near, SendOutcome.ABANDONED, 2 * unmarked);
        assertEquals(place(BackendState.FULL_FADES_MILLIS), Optional.of(near), "faded");
    }

    @Test
    public void fullEngineIsNotAskedAgainAtOnce() {
        Backend runner = Backends.decode("decode", "a");
        list(runner);
        mBoard.recordFull(runner, 0);
        assertTrue(place(BackendState.FULL_MILLIS - 1).isEmpty());
        assertTrue(place(BackendState.FULL_MILLIS).isPresent());
    }

    /*
     * Prompts queue at the prefill engine. Read by the decode engine, the next one would begin
     * sooner; but ten streams run there, and all of their callers would wait as long as it takes.
     */
    @Test
    public void promptIsNotReadInPlaceWhereOthersWouldWaitForIt() {
        Backend runner = Backends.decode("run", "a");
        Backend reader = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(runner, reader);
        IntStream.range(0, 3).forEach(i -> mBoard.recordResend(reader, SIZE));
        place(0);
        mBoard.recordReport(runner, running(10), 0);
        assertEquals(mBoard.selectPrefillEngine(runner, SIZE, 0), Optional.of(reader));
    }

    /** The same queue, and nobody at the decode engine who would wait. */
    @Test
    public void promptIsReadInPlaceWhereNobodyWaitsForIt() {
        Backend runner = Backends.decode("run", "a");
        Backend reader = Backends.of("prefill", "a", BackendStage.PREFILL, 1, false);
        list(runner, reader);
        IntStream.range(0, 3).forEach(i -> mBoard.recordResend(reader, SIZE));
        place(0);
        mBoard.recordReport(runner, running(0), 0);
        assertEquals(mBoard.selectPrefillEngine(runner, SIZE, 0), Optional.empty());
    }

    /** Hosts with many requests at once share one reading of an engine's report. */
    @Test
    public void reportIsReadOnceInAWhile() {
        Backend engine = Backends.decode("run", "a");
        list(engine);
        assertTrue(mBoard.reportDue(engine, 0));
        assertFalse(mBoard.reportDue(engine, BackendState.REPORT_MILLIS - 1));
        assertTrue(mBoard.reportDue(engine, BackendState.REPORT_MILLIS));
        mBoard.recordReport(engine, running(1), 500);
        assertTrue(mBoard.report(engine, 501).isPresent());
        assertTrue(mBoard.report(engine, 500 + BackendState.REPORT_KEPT_MILLIS).isEmpty());
    }

    private static EngineReport running(int runs) {
        return new EngineReport(
                0,
                false,
                IntStream.range(0, runs)
                        .mapToObj(i -> new EngineReport.Generation("q" + i, 6_000, 10))
                        .toList());
    }
}
