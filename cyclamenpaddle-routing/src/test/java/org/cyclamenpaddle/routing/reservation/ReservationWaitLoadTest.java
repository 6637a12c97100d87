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
 * Plays the heaviest load of a pool of engines: a burst of twice what it can hold, after which the
 * usual load alone takes three quarters of it.
 *
 * <p>Grounds for the figures: a pool of four decode engines with 65,717 tokens of memory holds
 * eleven generations of 5,200 prompt and 600 output tokens each; one takes 3.6 s, so that about
 * twelve end in a second. Callers of calm days bring 8 a second; their bursts bring 20 to 26 for
 * four to six seconds. Callers come back once, after 2.2 to 4.4 s.
 */
public class ReservationWaitLoadTest {

    private static final int PLACES = 44;
    private static final long RUN_MILLIS = 3_600;
    private static final CallerLimits TERMS = new CallerLimits(900, 3_600);
    private static final long LENGTH_MILLIS = 40_000;
    private static final long BURST_FROM = 10_000;
    private static final long BURST_TO = 16_000;
    private static final double CALM_PER_SECOND = 8;
    private static final double BURST_PER_SECOND = 23;
    private static final long ASK_MILLIS = 5;

    /** One ask of one request, in the order of time. */
    private record Ask(long atMillis, ReservationWait search) {}

    /** What became of all requests. */
    private record Outcome(int requests, int inTime, int served) {

        double inTimeShare() {
            return (double) inTime / requests;
        }

        double servedShare() {
            return (double) served / requests;
        }
    }

    /*
     * During the burst half of the requests find no place in time, are refused and come back, while
     * others still arrive. Whoever asks next after a place has come free gets it. If come-backs ask
     * as often as the rest, they take most places and make those late that could be in time; so the
     * lateness of a six-second burst goes on for all of the day.
     */
    @Test
    public void burstMakesFewRequestsLateAndNearlyNoneUnserved() {
        Outcome equal =
                play(7, (search, now) -> RetryStage.SHORT_PAUSE_MILLIS, (search, now) -> false);
        Outcome ranked = play(7, ReservationWait::pauseMillis, ReservationWait::yields);
        assertTrue(
                ranked.inTimeShare() > equal.inTimeShare() + 0.05,
                "in time " + ranked.inTimeShare() + " against " + equal.inTimeShare());
        assertTrue(ranked.inTimeShare() > 0.75, "in time " + ranked.inTimeShare());
        assertTrue(ranked.servedShare() > 0.97, "served " + ranked.servedShare());
    }

    /** Pauses that grow while engines turn a request away must not undo what the ranks win. */
    @Test
    public void spacedAsksMakeFewRequestsLateAndNearlyNoneUnserved() {
        Map<ReservationWait, ReservePacing> pacing = new IdentityHashMap<>();
        Outcome spaced =
                play(
                        7,
                        (search, now) ->
                                pacing.computeIfAbsent(search, any -> new ReservePacing())
                                        .pauseMillis(search, now),
                        ReservationWait::yields);
        assertTrue(spaced.inTimeShare() > 0.75, "in time " + spaced.inTimeShare());
        assertTrue(spaced.servedShare() > 0.97, "served " + spaced.servedShare());
    }

    /** A request that comes back asks often again before it would be refused for good. */
    @Test
    public void comeBackHurriesAtTheEndOfItsWait() {
        ReservationWait search = ReservationWait.begin(0, TERMS, RetryStage.RETURNING);
        long hurryMillis = (long) (search.waitMillis() * RetryStage.BACK_HURRY_SHARE);
        long hurries = search.waitMillis() - hurryMillis;
        assertTrue(search.pauseMillis(0) == RetryStage.BACK_PAUSE_MILLIS);
        assertTrue(search.pauseMillis(hurries) == RetryStage.SHORT_PAUSE_MILLIS);
        long next = hurries - 100 + search.pauseMillis(hurries - 100);
        assertTrue(next <= hurries, "the pause before it does not reach into it");
    }

    /**
     * A stream breaks and has to go on elsewhere while all engines are full. It may have run, so a
     * refusal would be its end: it asks as often as a first request, and longer.
     */
    @Test
    public void requestThatWasSentAlreadyAsksOftenAndLong() {
        ReservationWait repeat = ReservationWait.begin(0, TERMS, RetryStage.RETRY);
        ReservationWait first = ReservationWait.begin(0, TERMS, RetryStage.FIRST);
        assertTrue(repeat.pauseMillis(0) == first.pauseMillis(0));
        assertTrue(repeat.mayRetry(4 * first.waitMillis()));
    }

    private static Outcome play(
            long seed,
            ToLongBiFunction<ReservationWait, Long> pause,
            BiPredicate<ReservationWait, Long> yields) {
        Random random = new Random(seed);
        PriorityQueue<Ask> asks = new PriorityQueue<>(Comparator.comparingLong(Ask::atMillis));
        List<Long> arrivals = arrivals(random);
        arrivals.forEach(
                at -> asks.add(new Ask(at, ReservationWait.begin(at, TERMS, RetryStage.FIRST))));
        Deque<Long> ends = new ArrayDeque<>();
        int inTime = 0;
        int served = 0;
        while (!asks.isEmpty()) {
            Ask ask = asks.poll();
            long now = ask.atMillis();
            while (!ends.isEmpty() && ends.peek() <= now) {
                ends.poll();
            }
            int left = yields.test(ask.search(), now) ? 1 : 0;
            if (ends.size() + left < PLACES) {
                ends.add(now + RUN_MILLIS);
                served++;
                inTime += ask.search().stage() == RetryStage.FIRST ? 1 : 0;
            } else if (ask.search().mayRetry(now)) {
                long next = now + ASK_MILLIS + pause.applyAsLong(ask.search(), now);
                asks.add(new Ask(next, ask.search()));
            } else if (ask.search().stage() == RetryStage.FIRST) {
                long back =
                        now
                                + (long)
                                        (ClientRetryDelay.minMillis(RUN_MILLIS, TERMS)
                                                * (1 + random.nextDouble()));
                asks.add(new Ask(back, ReservationWait.begin(back, TERMS, RetryStage.RETURNING)));
            }
        }
        return new Outcome(arrivals.size(), inTime, served);
    }

    private static List<Long> arrivals(Random random) {
        List<Long> arrivals = new ArrayList<>();
        double at = 0;
        while (at < LENGTH_MILLIS) {
            boolean burst = at >= BURST_FROM && at < BURST_TO;
            double perSecond = burst ? BURST_PER_SECOND : CALM_PER_SECOND;
            at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            arrivals.add((long) at);
        }
        return arrivals;
    }
}
