package org.cyclamenpaddle.standins.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.text.PromptText;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EngineModelTest {

    private static final String PROMPT = "x".repeat(8_000 * PromptText.CHARS_PER_TOKEN);

    private final List<Either<EngineRejection, PrefillResponse>> mPrefills = new ArrayList<>();
    private final List<EngineEvent> mEvents = new ArrayList<>();
    private VirtualEngineTimer mTimer;
    private EngineCounters mCounters;
    private int mCrashes;

    @BeforeMethod
    public void reset() {
        mPrefills.clear();
        mEvents.clear();
        mTimer = new VirtualEngineTimer();
        mCounters = new EngineCounters();
        mCrashes = 0;
    }

    @Test
    public void prefillCostsUncachedTokensOnly() {
        EngineModel model = model("{}");
        prefill(model, "a", PROMPT, 0);
        mTimer.advanceMillis(404);
        assertTrue(mPrefills.isEmpty());
        mTimer.advanceMillis(1);
        assertEquals(mPrefills.get(0).get().cachedTokens(), 0);
        prefill(model, "b", PROMPT, 0);
        mTimer.advanceMillis(22);
        assertEquals(mPrefills.get(1).get().cachedTokens(), 7_936);
        assertEquals(mCounters.counts().prefilledTokens(), 8_000 + 64);
    }

    @Test
    public void queueServesGreaterPriorityFirst() {
        EngineModel model = model("{}");
        prefill(model, "running", PROMPT, 0);
        prefill(model, "low", "a".repeat(400), 0);
        prefill(model, "high", "b".repeat(400), 5);
        mTimer.advanceMillis(1_000);
        assertEquals(
                mPrefills.stream().map(p -> p.get().attempt()).collect(Collectors.toList()),
                List.of("running", "high", "low"));
    }

    @Test
    public void unusedResultIsEvictedAndCountedAsWasted() {
        EngineModel model = model("{}");
        prefill(model, "a", PROMPT, 0);
        mTimer.advanceMillis(405 + 799);
        assertEquals(model.heldPieces(), 2);
        mTimer.advanceMillis(1);
        assertEquals(model.heldPieces(), 0);
        assertEquals(mCounters.counts().wastedTokens(), 8_000);
    }

    @Test
    public void exportsShareTheLinkAndHoldTheResult() {
        EngineModel model = model("{\"linkBytesPerSecond\": 655360000}");
        prefill(model, "a", PROMPT, 0);
        prefill(model, "b", PROMPT, 0);
        mTimer.advanceMillis(430);
        List<Long> ends = new ArrayList<>();
        model.export("a", cache -> ends.add(mTimer.micros() / 1_000));
        model.export("b", cache -> ends.add(mTimer.micros() / 1_000));
        mTimer.advanceMillis(1_999);
        assertTrue(ends.isEmpty());
        assertEquals(model.heldPieces(), 4);
        mTimer.advanceMillis(2);
        assertEquals(ends.size(), 2);
        assertEquals(model.heldPieces(), 0);
        assertEquals(mCounters.counts().wastedTokens(), 0);
    }

    @Test
    public void abortedExportRestoresTheRemainingTimeToLive() {
        // A transfer stalls without moving a byte and is aborted while the caller still waits for
        // its first token. The result must stay available for its remaining time to live, since a
        // second prefill costs far more than a second transfer.
        EngineModel model = model("{}");
        prefill(model, "a", PROMPT, 0);
        mTimer.advanceMillis(405);
        model.stallTransfers(1);
        Runnable abort = model.export("a", cache -> {}).orElseThrow();
        mTimer.advanceMillis(2_000);
        abort.run();
        mTimer.advanceMillis(799);
        assertEquals(model.heldPieces(), 2);
        mTimer.advanceMillis(1);
        assertEquals(model.heldPieces(), 0);
    }

    @Test
    public void decodeStreamsTheCompletionInOrder() {
        EngineModel model = model("{}");
        decode(model, "d", 0, 5);
        mTimer.advanceMillis(25 * 5);
        assertEquals(text(mEvents), CompletionText.generate(PROMPT, 5));
        assertEquals(mEvents.get(mEvents.size() - 1), new EngineEvent.End(5, "length"));
        assertEquals(model.heldPieces(), 0);
    }

    @Test
    public void completionStopsBeforeMaxTokens() {
        EngineModel model = model("{\"answerTokens\": 10}");
        int length = CompletionText.length(PromptText.hash(PROMPT), 10);
        decode(model, "d", 0, 100);
        mTimer.advanceMillis(25 * 20);
        assertEquals(text(mEvents), CompletionText.generate(PROMPT, length));
        assertEquals(mEvents.get(mEvents.size() - 1), new EngineEvent.End(length, "stop"));
        mEvents.clear();
        decode(model, "resumed", length, 100);
        mTimer.advanceMillis(25);
        assertEquals(mEvents.get(mEvents.size() - 1), new EngineEvent.End(length, "stop"));
        assertEquals(text(mEvents), "");
    }

    @Test
    public void resumedStreamStartsAtTheRequestedIndex() {
        EngineModel model = model("{}");
        decode(model, "d", 0, 6);
        mTimer.advanceMillis(25 * 4);
        List<EngineEvent> resumed = new ArrayList<>();
        model.decodeAttempt("d").orElseThrow().subscribe(2, resumed::add);
        mTimer.advanceMillis(25 * 2);
        assertEquals(
                resumed.stream()
                        .filter(e -> e instanceof EngineEvent.Token)
                        .map(e -> ((EngineEvent.Token) e).index())
                        .collect(Collectors.toList()),
                List.of(2, 3, 4, 5));
        mTimer.advanceMillis(10_000);
        assertEquals(model.decodeAttempt("d"), Optional.empty());
    }

    @Test
    public void largerBatchSlowsEachStep() {
        EngineModel model = model("{}");
        IntStream.range(0, 20).forEach(i -> decode(model, "d" + i, 0, 100));
        assertEquals(model.decode(request("full", 0, 9)).getLeft(), EngineRejection.FULL);
        mTimer.advanceMillis(25 + 34);
        long before = mCounters.counts().generatedTokens();
        mTimer.advanceMillis(1);
        assertEquals(mCounters.counts().generatedTokens() - before, 20);
    }

    @Test
    public void cancelFreesMemoryAndRejectsTheAttemptPermanently() {
        // A caller disconnects and its cancel arrives before the decode request that it cancels.
        // If the late decode were admitted, it would occupy a slot and memory for a completion that
        // no client reads.
        EngineModel model = model("{}");
        decode(model, "d", 0, 100);
        mTimer.advanceMillis(60);
        assertEquals(model.heldPieces(), 2);
        model.cancel("d");
        model.cancel("d");
        assertEquals(model.heldPieces(), 0);
        assertEquals(mEvents.get(mEvents.size() - 1), new EngineEvent.Failed("cancelled"));
        model.cancel("late");
        assertEquals(model.decode(request("late", 0, 9)).getLeft(), EngineRejection.CANCELLED);
        prefill(model, "late", PROMPT, 0);
        assertEquals(mPrefills.get(0).getLeft(), EngineRejection.CANCELLED);
    }

    @Test
    public void transferTimeoutFailsTheDecode() {
        EngineModel model = model("{}", (source, done) -> () -> {});
        decode(model, "d", 0, 5);
        mTimer.advanceMillis(1_000);
        assertEquals(mEvents, List.of(new EngineEvent.Failed("transfer-stalled")));
        assertEquals(model.publishedLoad().slotsUsed(), 1);
        mTimer.advanceMillis(200);
        assertEquals(model.publishedLoad().slotsUsed(), 0);
    }

    @Test
    public void priorTokensMustBeAPrefixOfTheCompletion() {
        EngineModel model = model("{}");
        long hash = PromptText.hash("p");
        List<String> prior = List.of(CompletionText.token(hash, 0), CompletionText.token(hash, 1));
        model.prefill(new PrefillRequest("a", "p", prior, 0, 0), mPrefills::add);
        model.prefill(new PrefillRequest("b", "p", List.of("wrong "), 0, 0), mPrefills::add);
        mTimer.advanceMillis(100);
        assertEquals(mPrefills.get(0).getLeft(), EngineRejection.PRIOR_MISMATCH);
        assertEquals(mPrefills.get(1).get().tokens(), 3);
    }

    @Test
    public void cacheEventsAreDelayedAndHaveGaps() {
        EngineModel model = model("{\"cacheEventLossEvery\": 3, \"cachePieces\": 1}");
        prefill(model, "a", PROMPT, 0);
        mTimer.advanceMillis(405 + 299);
        assertTrue(model.cacheEvents(0).events().isEmpty());
        mTimer.advanceMillis(1);
        CacheEventLog.CacheEvents events = model.cacheEvents(0);
        assertEquals(events.lastSequence(), 31 + 15);
        assertEquals(events.events().size(), 31);
        assertFalse(events.events().stream().anyMatch(event -> event.sequence() % 3 == 0));
    }

    @Test
    public void staleFencingTokenIsRejectedOnlyByEnginesThatHonourIt() {
        EngineOrders.Order old = new EngineOrders.Order(4, "s", "m", "decode", 1_000);
        EngineOrders.Order current = new EngineOrders.Order(5, "s", "m", "prefill", 1_000);
        EngineModel honours = model("{}");
        assertTrue(honours.order(current).isRight());
        assertEquals(honours.order(old).getLeft(), new EngineOrders.Stale(5));
        EngineModel ignores = model("{\"fencing\": \"IGNORES\"}");
        assertTrue(ignores.order(current).isRight());
        assertEquals(ignores.order(old).get().role(), "decode");
    }

    @Test
    public void crashMarkCrashesTheEngineThatComputesThePrompt() {
        EngineModel model = model("{}");
        prefill(model, "a", "good", 0);
        prefill(model, "b", "bad " + EngineModel.CRASH_MARK, 0);
        mTimer.advanceMillis(100);
        assertEquals(mCrashes, 1);
        assertEquals(mPrefills.size(), 1);
    }

    private EngineModel model(String settings) {
        KvCache cache = new KvCache(PromptText.hash(PROMPT), 8_000, 1, false);
        return model(
                settings,
                (source, done) -> {
                    mTimer.schedule(0, () -> done.accept(Either.right(cache)));
                    return () -> {};
                });
    }

    private EngineModel model(String settings, KvFetcher fetcher) {
        return new EngineModel(
                mTimer, EngineSettings.fromJson(settings), fetcher, mCounters, () -> mCrashes++);
    }

    private void prefill(EngineModel model, String attempt, String prompt, int priority) {
        model.prefill(new PrefillRequest(attempt, prompt, List.of(), priority, 0), mPrefills::add);
    }

    private void decode(EngineModel model, String attempt, int first, int max) {
        model.decode(request(attempt, first, max)).get().subscribe(first, mEvents::add);
    }

    private static DecodeRequest request(String attempt, int first, int max) {
        DecodeRequest.Source source = new DecodeRequest.Source("127.0.0.1", 1, "p");
        return new DecodeRequest(attempt, source, first, max, 0, 1_000);
    }

    private static String text(List<EngineEvent> events) {
        return events.stream()
                .filter(event -> event instanceof EngineEvent.Token)
                .map(event -> ((EngineEvent.Token) event).text())
                .collect(Collectors.joining());
    }
}
