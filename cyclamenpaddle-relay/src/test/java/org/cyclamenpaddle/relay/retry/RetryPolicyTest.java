package org.cyclamenpaddle.relay.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.testng.annotations.Test;

/** Tests which sends {@link RetryPolicy} retries and which reply a caller gets. */
public class RetryPolicyTest {

    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int RUNS = 20_000;

    private static RetryPolicy policy(boolean repeatable, int attempts) {
        return new RetryPolicy(new RetryLimits(repeatable, attempts, TIMEOUT_MILLIS), 0);
    }

    /**
     * A booking reaches a server and the connection breaks. The caller receives a 502: the booking
     * may have run, so it is neither retried nor reported as not run.
     */
    @Test
    public void bookingThatMayHaveRunIsNeverSentAgain() {
        RetryPolicy policy = policy(false, 3);
        policy.beginSend();
        assertEquals(policy.endSend(SendOutcome.UNKNOWN, 10, () -> true), RetryDecision.END);
        assertEquals(policy.reply(SendOutcome.UNKNOWN, 10), CallerReply.FAILED);
        RetryPolicy broken = policy(false, 3);
        broken.beginSend();
        broken.endSend(SendOutcome.UNKNOWN, 10, () -> true);
        assertThrows(BrokenInvariantException.class, broken::beginSend);
    }

    @Test
    public void rejectedBookingGoesToAnotherServerWithinItsAttempts() {
        RetryPolicy policy = policy(false, 2);
        policy.beginSend();
        assertEquals(
                policy.endSend(SendOutcome.REJECTED, 10, () -> true), RetryDecision.SEND_AGAIN);
        policy.beginSend();
        assertEquals(policy.endSend(SendOutcome.REJECTED, 20, () -> true), RetryDecision.END);
        assertEquals(policy.reply(SendOutcome.REJECTED, 20), CallerReply.NOT_RUN);
    }

    @Test
    public void retryNeedsTheSharedBudgetUnlessNothingWasSent() {
        RetryPolicy rejected = policy(true, 3);
        rejected.beginSend();
        assertEquals(rejected.endSend(SendOutcome.REJECTED, 10, () -> false), RetryDecision.END);
        RetryPolicy unsent = policy(true, 3);
        unsent.beginSend();
        assertEquals(
                unsent.endSend(SendOutcome.NOT_SENT, 10, () -> false), RetryDecision.SEND_AGAIN);
        assertEquals(unsent.sends(), 0);
    }

    /** A request is given up, or repeated against its route, when no server is reached. */
    @Test
    public void onlyARequestThatMayRunElsewhereEndsUnsent() {
        for (boolean repeatable : List.of(true, false)) {
            RetryPolicy policy = policy(repeatable, 2);
            policy.beginSend();
            policy.endSend(SendOutcome.UNKNOWN, 10, () -> true);
            for (int i = 0; repeatable && i < RetryPolicy.MAX_UNSENT_SENDS; i++) {
                assertFalse(policy.endsUnsent());
                policy.beginSend();
                policy.endSend(SendOutcome.NOT_SENT, 10, () -> true);
                assertTrue(policy.serverUnreached());
            }
            assertEquals(policy.endsUnsent(), repeatable);
        }
    }

    @Test
    public void resumeOnSameBackendUsesNoAttemptAndMayHaveRun() {
        RetryPolicy policy = policy(true, 1);
        policy.beginSend();
        assertTrue(policy.mayResumeOnSameBackend(10));
        assertFalse(policy.resumeOnSameBackend(() -> false));
        assertTrue(policy.resumeOnSameBackend(() -> true));
        assertTrue(policy.resumeOnSameBackend(() -> true));
        assertFalse(
                policy.mayResumeOnSameBackend(20),
                "a server that repeatedly breaks the connection");
        assertEquals(policy.sends(), 1);
        assertEquals(policy.endSend(SendOutcome.REJECTED, 30, () -> true), RetryDecision.END);
        assertEquals(policy.reply(SendOutcome.REJECTED, 30), CallerReply.FAILED);
    }

    @Test
    public void bookingIsNeverResumedOnSameBackend() {
        RetryPolicy policy = policy(false, 3);
        policy.beginSend();
        assertFalse(policy.mayResumeOnSameBackend(10));
    }

    @Test
    public void replyIsTimedOutOnlyIfRequestMayHaveRun() {
        RetryPolicy sent = policy(true, 1);
        sent.beginSend();
        assertEquals(sent.reply(SendOutcome.UNKNOWN, TIMEOUT_MILLIS), CallerReply.TIMED_OUT);
        assertEquals(
                policy(true, 1).reply(SendOutcome.NOT_SENT, TIMEOUT_MILLIS), CallerReply.NOT_RUN);
    }

    @Test
    public void failureAfterTheFirstEventIsNotPassedOn() {
        RetryPolicy policy = policy(true, 2);
        policy.beginSend();
        policy.beginForwarding();
        assertEquals(policy.endSend(SendOutcome.UNKNOWN, 10, () -> true), RetryDecision.SEND_AGAIN);
        policy.beginSend();
        assertEquals(policy.endSend(SendOutcome.FAILED, 20, () -> true), RetryDecision.END);
    }

    @Test
    public void serversOwnFailureIsPassedOnWhenNoAttemptIsLeft() {
        RetryPolicy policy = policy(false, 1);
        policy.beginSend();
        assertEquals(policy.endSend(SendOutcome.FAILED, 10, () -> true), RetryDecision.PASS_ON);
    }

    /**
     * Random sequences of outcomes. Whatever the servers do, a request that is not repeatable is
     * never sent after a send that may have run, the sends stay within the attempts, and "not run"
     * is reported only if no send may have run.
     */
    @Test
    public void randomSequencesKeepRetryGuarantees() {
        Random random = new Random(7);
        IntStream.range(0, RUNS).forEach(run -> randomSequence(random));
    }

    private static void randomSequence(Random random) {
        boolean repeatable = random.nextBoolean();
        int attempts = 1 + random.nextInt(3);
        RetryPolicy policy = policy(repeatable, attempts);
        List<SendOutcome> sends = new ArrayList<>();
        long now = 0;
        RetryDecision next = RetryDecision.SEND_AGAIN;
        while (next == RetryDecision.SEND_AGAIN) {
            boolean mayHaveRun = sends.stream().anyMatch(SendOutcome::mayHaveRun);
            assertTrue(repeatable || !mayHaveRun, "retried after " + sends);
            policy.beginSend();
            while (policy.mayResumeOnSameBackend(now) && random.nextBoolean()) {
                assertTrue(repeatable, "resumed where it ran, although it is not repeatable");
                if (policy.resumeOnSameBackend(random::nextBoolean)) {
                    sends.add(SendOutcome.UNKNOWN);
                }
            }
            SendOutcome outcome = SendOutcome.values()[random.nextInt(SendOutcome.values().length)];
            sends.add(outcome);
            now += random.nextInt(400);
            next = policy.endSend(outcome, now, random::nextBoolean);
            assertTrue(policy.sends() <= attempts);
            assertTrue(
                    sends.size()
                            <= attempts
                                    + RetryPolicy.MAX_UNSENT_SENDS
                                    + RetryPolicy.MAX_RESUMES_ON_SAME_BACKEND,
                    "too many sends: " + sends);
        }
        if (next == RetryDecision.END) {
            boolean mayHaveRun = sends.stream().anyMatch(SendOutcome::mayHaveRun);
            CallerReply reply = policy.reply(sends.get(sends.size() - 1), now);
            assertEquals(reply == CallerReply.NOT_RUN, !mayHaveRun, "replied after " + sends);
        } else {
            SendOutcome last = sends.get(sends.size() - 1);
            assertTrue(last.serverResponded(), "forwarded after " + last);
        }
    }

    /** A second send beside the first one exceeds the attempts, or repeats what may run once. */
    @Test
    public void secondSendNeedsAnAttemptAndARepeatableRequest() {
        RetryPolicy single = policy(true, 1);
        single.beginSend();
        assertThrows(BrokenInvariantException.class, single::beginSecondSend);
        RetryPolicy booking = policy(false, 3);
        booking.beginSend();
        assertThrows(BrokenInvariantException.class, booking::beginSecondSend);
        RetryPolicy idle = policy(true, 3);
        assertThrows(BrokenInvariantException.class, idle::beginSecondSend);
        RetryPolicy third = policy(true, 3);
        third.beginSend();
        third.beginSecondSend();
        assertThrows(BrokenInvariantException.class, third::beginSecondSend);
        assertThrows(BrokenInvariantException.class, third::beginSend);
    }

    /** The end of one of two sends ends the request, or loses that it may have run there. */
    @Test
    public void requestGoesOnAfterOneOfTwoSendsHasEnded() {
        RetryPolicy policy = policy(true, 2);
        policy.beginSend();
        assertThrows(BrokenInvariantException.class, () -> policy.endOneOfTwo(SendOutcome.UNKNOWN));
        policy.beginSecondSend();
        assertFalse(policy.hasAttemptsLeft());
        policy.endOneOfTwo(SendOutcome.UNKNOWN);
        assertTrue(policy.mayHaveRun());
        assertEquals(policy.endSend(SendOutcome.REJECTED, 10, () -> true), RetryDecision.END);
        assertEquals(policy.reply(SendOutcome.REJECTED, 10), CallerReply.FAILED);
    }

    /** A second send that never left this host uses up an attempt. */
    @Test
    public void unsentSecondSendLeavesItsAttempt() {
        RetryPolicy policy = policy(true, 2);
        policy.beginSend();
        policy.beginSecondSend();
        policy.endOneOfTwo(SendOutcome.NOT_SENT);
        assertEquals(policy.sends(), 1);
        assertTrue(policy.hasAttemptsLeft());
        policy.beginSecondSend();
        policy.endOneOfTwo(SendOutcome.REJECTED);
        assertEquals(policy.endSend(SendOutcome.REJECTED, 10, () -> true), RetryDecision.END);
        assertEquals(policy.reply(SendOutcome.REJECTED, 10), CallerReply.NOT_RUN);
    }

    /**
     * Random sequences of one and two sends in progress. At no time do more sends count than the
     * attempts allow, and "not run" is reported only if no send may have run.
     */
    @Test
    public void randomSequencesOfTwoSendsKeepRetryGuarantees() {
        Random random = new Random(11);
        IntStream.range(0, RUNS).forEach(run -> randomSequenceOfTwo(random));
    }

    private static void randomSequenceOfTwo(Random random) {
        int attempts = 1 + random.nextInt(4);
        RetryPolicy policy = policy(true, attempts);
        List<SendOutcome> ended = new ArrayList<>();
        long now = 0;
        RetryDecision next = RetryDecision.SEND_AGAIN;
        while (next == RetryDecision.SEND_AGAIN) {
            policy.beginSend();
            // A send beside it may end and be followed by another one, from either of the two.
            while (policy.hasAttemptsLeft() && random.nextInt(3) > 0) {
                policy.beginSecondSend();
                assertTrue(policy.mayHaveRun(), "two sends are in progress");
                ended.add(outcome(random));
                policy.endOneOfTwo(ended.get(ended.size() - 1));
                assertCounted(policy, ended, 1, attempts);
            }
            now += random.nextInt(400);
            ended.add(outcome(random));
            next = policy.endSend(ended.get(ended.size() - 1), now, random::nextBoolean);
            assertCounted(policy, ended, 0, attempts);
        }
        if (next == RetryDecision.END) {
            boolean mayHaveRun = ended.stream().anyMatch(SendOutcome::mayHaveRun);
            CallerReply reply = policy.reply(ended.get(ended.size() - 1), now);
            assertEquals(reply == CallerReply.NOT_RUN, !mayHaveRun, "replied after " + ended);
        }
    }

    private static SendOutcome outcome(Random random) {
        return SendOutcome.values()[random.nextInt(SendOutcome.values().length)];
    }

    private static void assertCounted(
            RetryPolicy policy, List<SendOutcome> ended, int inProgress, int attempts) {
        long sent = ended.stream().filter(outcome -> !outcome.unsent()).count() + inProgress;
        assertEquals(policy.sends(), sent, "sends of " + ended);
        assertTrue(sent <= attempts, sent + " sends of " + attempts + ": " + ended);
    }
}
