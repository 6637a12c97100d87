package org.cyclamenpaddle.routing.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs single requests with seeded random faults; {@code -Drequest.seed=S -Drequest.runs=N} selects
 * other runs.
 */
public class RequestMachineRandomTest {

    private static final long SEED = Long.getLong("request.seed", 20_261_203L);
    private static final int RUNS = Integer.getInteger("request.runs", 20_000);
    private static final long LONGEST_MILLIS = 120_000;

    @DataProvider
    public Object[][] faultShares() {
        return new Object[][] {{0.0}, {0.02}, {0.15}, {0.5}};
    }

    // Each request must end with either the complete response in order or one refusal, never with
    // both or neither. Grants are lost or late, prefills fail, transfers stall, streams break, skip
    // and retry, and callers disconnect in any phase, all by a seeded random source. Afterwards no
    // engine may hold an attempt and no owner a grant, since nothing would release those of a
    // request that has ended.
    @Test(dataProvider = "faultShares")
    public void everyRequestEndsOnceAndHoldsNothing(double faultShare) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        int finished = 0;
        for (int run = 0; run < RUNS; run++) {
            FakeEngines engines = new FakeEngines(random, faultShare);
            long disconnectsAfter = random.nextInt(5) == 0 ? 1 + random.nextInt(900) : 0;

            engines.run(machine(random), disconnectsAfter);

            finished += check(engines, "seed " + SEED + " run " + run);
        }
        assertTrue(finished > 0, "no request finished at fault share " + faultShare);
    }

    private static int check(FakeEngines engines, String run) {
        assertEquals(engines.finals().size(), 1, run + " final effects " + engines.finals());
        List<String> expected =
                IntStream.range(0, engines.receivedTokens().size())
                        .mapToObj(FakeEngines::token)
                        .collect(Collectors.toList());
        assertEquals(engines.receivedTokens(), expected, run);
        assertEquals(engines.held(), Set.of(), run + " still holds engine memory");
        assertEquals(engines.granted(), Set.of(), run + " still holds grants");
        assertTrue(engines.now() < LONGEST_MILLIS, run + " took " + engines.now() + " ms");
        if (engines.finals().get(0) instanceof RequestEffect.Finish) {
            assertEquals(engines.receivedTokens().size(), FakeEngines.RESPONSE_TOKENS, run);
            return 1;
        }
        return 0;
    }

    private static RequestMachine machine(UniformRandomProvider random) {
        RequestShape shape =
                new RequestShape(
                        new RequestId("r-1"),
                        new ServiceName("malt-reader"),
                        new TeamName("default"),
                        7L,
                        900,
                        List.of(),
                        FakeEngines.RESPONSE_TOKENS,
                        580,
                        1_000);
        return new RequestMachine(shape, RequestSettings.defaults(), new RandomEnvironment(random));
    }

    /** Four servers of each role; a random one that is not excluded is ranked first. */
    private static final class RandomEnvironment implements RequestEnvironment {

        private static final Incarnation HOST = new Incarnation(new HostId("ahm-1"), 1L);
        private final UniformRandomProvider mRandom;
        private long mAttempts;

        RandomEnvironment(UniformRandomProvider random) {
            mRandom = random;
        }

        @Override
        public AttemptId newAttempt() {
            return AttemptId.of(HOST, ++mAttempts);
        }

        @Override
        public boolean usesGrants() {
            return true;
        }

        @Override
        public Optional<Refusal> admit(RequestShape shape, long now) {
            return mRandom.nextInt(50) == 0
                    ? Optional.of(Refusal.of(RefusalReason.DEADLINE_UNREACHABLE, ""))
                    : Optional.empty();
        }

        @Override
        public Either<Refusal, List<Choice>> rankPrefill(
                RequestShape shape, int generated, Set<BackendId> excluded, long now) {
            return rank("p", excluded);
        }

        @Override
        public Either<Refusal, List<Choice>> rankDecode(
                RequestShape shape,
                BackendId prefill,
                long neededInMillis,
                Set<BackendId> excluded,
                long now) {
            return rank("d", excluded);
        }

        private Either<Refusal, List<Choice>> rank(String role, Set<BackendId> excluded) {
            List<Choice> free =
                    IntStream.range(0, 4)
                            .mapToObj(i -> new BackendId(role + i))
                            .filter(id -> !excluded.contains(id))
                            .map(id -> new Choice(id, 80, 0))
                            .collect(Collectors.toList());
            if (free.isEmpty()) {
                return Either.left(Refusal.of(RefusalReason.NO_BACKEND, ""));
            }
            return Either.right(List.of(free.get(mRandom.nextInt(free.size()))));
        }

        @Override
        public GrantRequest prefillGrantRequest(
                AttemptId attempt,
                RequestShape shape,
                int generated,
                Choice choice,
                long millisLeft) {
            return grantRequest(attempt, choice, BackendRole.PREFILL, 0);
        }

        @Override
        public GrantRequest decodeGrantRequest(
                AttemptId attempt,
                RequestShape shape,
                int generated,
                Choice choice,
                BackendId prefill,
                long prefillEndInMillis,
                long millisLeft) {
            return grantRequest(attempt, choice, BackendRole.DECODE, prefillEndInMillis);
        }

        private static GrantRequest grantRequest(
                AttemptId attempt, Choice choice, BackendRole role, long neededIn) {
            return new GrantRequest(
                    attempt, choice.backend(), role, 64, 1, 1_000, neededIn, 500, 400);
        }

        @Override
        public boolean tryAcquireRetry(RequestShape shape, RetryReason reason, long now) {
            return mRandom.nextInt(20) != 0;
        }

        @Override
        public void backendUnreachable(BackendId backend, long now) {
            // The exclusion set of the state machine suffices here.
        }

        @Override
        public void backendCrashed(RequestShape shape, BackendId backend, long now) {
            // The exclusion set of the state machine suffices here.
        }
    }
}
