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

/** Tests what {@link RetryPolicy} lets be sent again, and what a caller is told. */
public class RetryPolicyTest {

    private static final long PATIENCE = 1_000;
    private static final int RUNS = 20_000;

    private static RetryPolicy policy(boolean repeatable, int attempts) {
        return new RetryPolicy(new RetryLimits(repeatable, attempts, PATIENCE), 0);
    }

    /**
     * A booking reaches a server and the connection breaks. The caller sees a 502: the booking may
     * have run, so it is neither sent again nor said not to have run.
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
    public void repeatNeedsTheSharedBudgetUnlessNothingWasSent() {
        RetryPolicy rejected = policy(true, 3);
        rejected.beginSend();
        assertEquals(rejected.endSend(SendOutcome.REJECTED, 10, () -> false), RetryDecision.END);
        RetryPolicy unsent = policy(true, 3);
        unsent.beginSend();
        assertEquals(
                unsent.endSend(SendOutcome.NOT_SENT, 10, () -> false), RetryDecision.SEND_AGAIN);
        assertEquals(unsent.sends(), 0);
    }

    @Test
    public void goingOnWhereItRanUsesNoAttemptAndMayHaveRun() {
        RetryPolicy policy = policy(true, 1);
        policy.beginSend();
        assertTrue(policy.mayResumeOnSameBackend(10));
        assertFalse(policy.resumeOnSameBackend(() -> false));
        assertTrue(policy.resumeOnSameBackend(() -> true));
        assertTrue(policy.resumeOnSameBackend(() -> true));
        assertFalse(policy.mayResumeOnSameBackend(20), "a server that breaks again and again");
        assertEquals(policy.sends(), 1);
        assertEquals(policy.endSend(SendOutcome.REJECTED, 30, () -> true), RetryDecision.END);
        assertEquals(policy.reply(SendOutcome.REJECTED, 30), CallerReply.FAILED);
    }

    @Test
    public void bookingNeverGoesOnWhereItMayHaveRun() {
        RetryPolicy policy = policy(false, 3);
        policy.beginSend();
        assertFalse(policy.mayResumeOnSameBackend(10));
    }

    @Test
    public void answerIsTimedOutOnlyIfItMayHaveRun() {
        RetryPolicy sent = policy(true, 1);
        sent.beginSend();
        assertEquals(sent.reply(SendOutcome.UNKNOWN, PATIENCE), CallerReply.TIMED_OUT);
        assertEquals(policy(true, 1).reply(SendOutcome.NOT_SENT, PATIENCE), CallerReply.NOT_RUN);
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
     * Random courses of all kinds. Whatever the servers do: no request that must not repeat is sent
     * after a send that may have run, sends stay within the attempts, and "not run" is said only if
     * no send may have run.
     */
    @Test
    public void randomCoursesKeepThePromises() {
        Random random = new Random(7);
        IntStream.range(0, RUNS).forEach(run -> randomCourse(random));
    }

    private static void randomCourse(Random random) {
        boolean repeatable = random.nextBoolean();
        int attempts = 1 + random.nextInt(3);
        RetryPolicy policy = policy(repeatable, attempts);
        List<SendOutcome> sends = new ArrayList<>();
        long now = 0;
        RetryDecision next = RetryDecision.SEND_AGAIN;
        while (next == RetryDecision.SEND_AGAIN) {
            boolean mayHaveRun = sends.stream().anyMatch(SendOutcome::mayHaveRun);
            assertTrue(repeatable || !mayHaveRun, "sent again after " + sends);
            policy.beginSend();
            while (policy.mayResumeOnSameBackend(now) && random.nextBoolean()) {
                assertTrue(repeatable, "goes on where it ran, though it must not repeat");
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
                            <= attempts + RetryPolicy.MOST_UNSENT + RetryPolicy.MOST_GONE_ON_HERE,
                    "endless: " + sends);
        }
        if (next == RetryDecision.END) {
            boolean mayHaveRun = sends.stream().anyMatch(SendOutcome::mayHaveRun);
            CallerReply reply = policy.reply(sends.get(sends.size() - 1), now);
            assertEquals(reply == CallerReply.NOT_RUN, !mayHaveRun, "told after " + sends);
        } else {
            SendOutcome last = sends.get(sends.size() - 1);
            assertTrue(last.serverResponded(), "passed on after " + last);
        }
    }
}
