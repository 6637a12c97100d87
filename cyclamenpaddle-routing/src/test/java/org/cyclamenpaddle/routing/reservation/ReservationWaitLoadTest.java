package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.ToLongBiFunction;
import org.testng.annotations.Test;

/**
 * Simulates the heaviest load of a pool of engines: a burst of twice its capacity, after which the
 * normal load alone takes three quarters of it.
 *
 * <p>Basis of the figures: a pool of four decode engines with 65,717 tokens of memory holds eleven
 * generations of 5,200 prompt and 600 output tokens each; one takes 3.6 s, so that about twelve end
 * each second. Outside bursts callers send 8 requests a second; bursts bring 20 to 26 for four to
 * six seconds. Rejected callers return once, after 2.2 to 4.4 s.
 */
public class ReservationWaitLoadTest {

    private static final int CAPACITY = 44;
    private static final long GENERATION_MILLIS = 3_600;
    private static final CallerLimits LIMITS = new CallerLimits(900, 3_600);
    private static final long RUN_MILLIS = 40_000;
    private static final long BURST_START_MILLIS = 10_000;
    private static final long BURST_END_MILLIS = 16_000;
    private static final double CALM_PER_SECOND = 8;
    private static final double BURST_PER_SECOND = 23;
    private static final long RESERVE_MILLIS = 5;

    /** One reservation request, ordered by time. */
    private record ReserveRequest(long atMillis, ReservationWait search) {}

    /** Outcome of all requests. */
    private record Outcome(int requests, int inTime, int served) {

        double inTimeShare() {
            return (double) inTime / requests;
        }

        double servedShare() {
            return (double) served / requests;
        }
    }

    /*
     * During the burst half of the requests get no reservation in time, are refused and return,
     * while others still arrive. The next request sent after capacity becomes free gets it.
     * Returning callers that try as often as the rest take most of it and delay requests that could
     * be in time, so that the lateness of a six-second burst persists for the rest of the day.
     */
    @Test
    public void burstMakesFewRequestsLateAndNearlyNoneUnserved() {
        Outcome equal =
                play(7, (search, now) -> RetryStage.MIN_PAUSE_MILLIS, (search, now) -> false);
        Outcome staged = play(7, ReservationWait::pauseMillis, ReservationWait::leavesHeadroom);
        assertTrue(
                staged.inTimeShare() > equal.inTimeShare() + 0.05,
                "in time " + staged.inTimeShare() + " against " + equal.inTimeShare());
        assertTrue(staged.inTimeShare() > 0.75, "in time " + staged.inTimeShare());
        assertTrue(staged.servedShare() > 0.97, "served " + staged.servedShare());
    }

    /** Growing pauses after rejections must not undo the effect of the stages. */
    @Test
    public void pacedRequestsMakeFewLateAndNearlyNoneUnserved() {
        Map<ReservationWait, ReservePacing> pacing = new IdentityHashMap<>();
        Outcome paced =
                play(
                        7,
                        (search, now) ->
                                pacing.computeIfAbsent(search, any -> new ReservePacing())
                                        .pauseMillis(search, now),
                        ReservationWait::leavesHeadroom);
        assertTrue(paced.inTimeShare() > 0.75, "in time " + paced.inTimeShare());
        assertTrue(paced.servedShare() > 0.97, "served " + paced.servedShare());
    }

    /** A returning caller's request tries often again before it would be refused for good. */
    @Test
    public void returningCallerRetriesOftenAtEndOfWait() {
        ReservationWait search = ReservationWait.begin(0, LIMITS, RetryStage.RETURNING);
        long finalMillis = (long) (search.waitMillis() * RetryStage.FINAL_SHARE);
        long finalFrom = search.waitMillis() - finalMillis;
        assertTrue(search.pauseMillis(0) == RetryStage.RETURNING_PAUSE_MILLIS);
        assertTrue(search.pauseMillis(finalFrom) == RetryStage.MIN_PAUSE_MILLIS);
        long next = finalFrom - 100 + search.pauseMillis(finalFrom - 100);
        assertTrue(next <= finalFrom, "the pause before the final part does not extend into it");
    }

    /**
     * A stream breaks and must continue elsewhere while all engines are full. The request may have
     * run, so a refusal would lose it: it tries as often as a new request, and for longer.
     */
    @Test
    public void requestAlreadySentRetriesOftenAndLonger() {
        ReservationWait retry = ReservationWait.begin(0, LIMITS, RetryStage.RETRY);
        ReservationWait first = ReservationWait.begin(0, LIMITS, RetryStage.FIRST);
        assertTrue(retry.pauseMillis(0) == first.pauseMillis(0));
        assertTrue(retry.mayRetry(4 * first.waitMillis()));
    }

    private static Outcome play(
            long seed,
            ToLongBiFunction<ReservationWait, Long> pause,
            BiPredicate<ReservationWait, Long> yields) {
        Random random = new Random(seed);
        PriorityQueue<ReserveRequest> requests =
                new PriorityQueue<>(Comparator.comparingLong(ReserveRequest::atMillis));
        List<Long> arrivals = arrivals(random);
        arrivals.forEach(
                at ->
                        requests.add(
                                new ReserveRequest(
                                        at, ReservationWait.begin(at, LIMITS, RetryStage.FIRST))));
        Deque<Long> ends = new ArrayDeque<>();
        int inTime = 0;
        int served = 0;
        while (!requests.isEmpty()) {
            ReserveRequest request = requests.poll();
            long now = request.atMillis();
            while (!ends.isEmpty() && ends.peek() <= now) {
                ends.poll();
            }
            int left = yields.test(request.search(), now) ? 1 : 0;
            if (ends.size() + left < CAPACITY) {
                ends.add(now + GENERATION_MILLIS);
                served++;
                inTime += request.search().stage() == RetryStage.FIRST ? 1 : 0;
            } else if (request.search().mayRetry(now)) {
                long next = now + RESERVE_MILLIS + pause.applyAsLong(request.search(), now);
                requests.add(new ReserveRequest(next, request.search()));
            } else if (request.search().stage() == RetryStage.FIRST) {
                long returnsAt =
                        now
                                + (long)
                                        (CallerRetryDelay.minMillis(GENERATION_MILLIS, LIMITS)
                                                * (1 + random.nextDouble()));
                requests.add(
                        new ReserveRequest(
                                returnsAt,
                                ReservationWait.begin(returnsAt, LIMITS, RetryStage.RETURNING)));
            }
        }
        return new Outcome(arrivals.size(), inTime, served);
    }

    private static List<Long> arrivals(Random random) {
        List<Long> arrivals = new ArrayList<>();
        double at = 0;
        while (at < RUN_MILLIS) {
            boolean burst = at >= BURST_START_MILLIS && at < BURST_END_MILLIS;
            double perSecond = burst ? BURST_PER_SECOND : CALM_PER_SECOND;
            at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            arrivals.add((long) at);
        }
        return arrivals;
    }
}
