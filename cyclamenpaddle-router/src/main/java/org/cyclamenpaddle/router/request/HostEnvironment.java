package org.cyclamenpaddle.router.request;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.routing.admission.Admission;
import org.cyclamenpaddle.routing.admission.GrantRequestFactory;
import org.cyclamenpaddle.routing.placement.BackendView;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.cyclamenpaddle.routing.placement.CostFactors;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.cyclamenpaddle.routing.placement.PlacementRequest;
import org.cyclamenpaddle.routing.placement.PlacementView;
import org.cyclamenpaddle.routing.placement.PrefixHints;
import org.cyclamenpaddle.routing.quarantine.Verdict;
import org.cyclamenpaddle.routing.request.Choice;
import org.cyclamenpaddle.routing.request.RequestEnvironment;
import org.cyclamenpaddle.routing.request.RequestShape;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/** The blackboard of an entry host as the state machines of requests see it. */
public final class HostEnvironment implements RequestEnvironment {

    private final Incarnation mSelf;
    private final FailureDomain mDomain;
    private final Blackboard mBlackboard;
    private final PlacementPolicy mPolicy;
    private final Admission mAdmission;
    private final RetryBudget mRetries;
    private final PrefixHints mPrefixes;
    private final RequestAccounting mLearning;
    private final DomainLatencies mDistances;
    private final BackendFailureListener mLosses;
    private final UniformRandomProvider mRandom;
    private final AtomicLong mAttempts = new AtomicLong();
    private final AtomicLong mTurns = new AtomicLong();

    /**
     * Creates the environment of one host.
     *
     * @param self this host's incarnation, part of every attempt id
     * @param domain this host's failure domain
     * @param blackboard its tables
     * @param decisions policy, admission, budget and hints
     * @param losses told of lost backend servers
     * @param random source of random numbers, used under a lock
     */
    public HostEnvironment(
            Incarnation self,
            FailureDomain domain,
            Blackboard blackboard,
            RequestPolicies decisions,
            BackendFailureListener losses,
            UniformRandomProvider random) {
        mSelf = self;
        mDomain = domain;
        mBlackboard = blackboard;
        mPolicy = decisions.policy();
        mAdmission = decisions.admission();
        mRetries = decisions.retries();
        mPrefixes = decisions.prefixes();
        mLearning = decisions.accounting();
        mDistances = decisions.latencies();
        mLosses = losses;
        mRandom = random;
    }

    @Override
    public AttemptId newAttempt() {
        return AttemptId.of(mSelf, mAttempts.incrementAndGet());
    }

    @Override
    public boolean usesGrants() {
        return mPolicy.usesGrants();
    }

    @Override
    public Optional<Refusal> admit(RequestShape shape, long now) {
        Optional<Long> quarantined =
                mBlackboard
                        .quarantine()
                        .read(table -> table.quarantinedMillis(shape.fingerprint(), now));
        if (quarantined.isPresent()) {
            return quarantined.map(
                    millis -> new Refusal(RefusalReason.QUARANTINED, "", Math.max(1, millis)));
        }
        Optional<Refusal> overLimit = mLearning.begin(shape);
        if (overLimit.isPresent()) {
            return overLimit;
        }
        synchronized (mRetries) {
            mRetries.recordRequest(shape.service(), now);
        }
        mTurns.incrementAndGet();
        if (!usesGrants()) {
            return Optional.empty();
        }
        PlacementRequest request = request(shape, 0, shape.firstTokenMillis());
        PlacementView view = view(shape, Set.of(), now);
        synchronized (mRandom) {
            return mAdmission.admit(request, view, mRandom).swap().toJavaOptional();
        }
    }

    @Override
    public Either<Refusal, List<Choice>> rankPrefill(
            RequestShape shape, int generated, Set<BackendId> excluded, long now) {
        PlacementRequest request = request(shape, generated, shape.firstTokenMillis());
        PlacementView view = view(shape, excluded, now);
        synchronized (mRandom) {
            return choices(shape, mPolicy.rankPrefill(request, view, mRandom), now);
        }
    }

    @Override
    public Either<Refusal, List<Choice>> rankDecode(
            RequestShape shape,
            BackendId prefill,
            long neededInMillis,
            Set<BackendId> excluded,
            long now) {
        PlacementRequest request = request(shape, 0, shape.firstTokenMillis());
        PlacementView view = view(shape, excluded, now);
        synchronized (mRandom) {
            return choices(shape, mPolicy.rankDecode(request, view, mRandom, neededInMillis), now);
        }
    }

    @Override
    public GrantRequest prefillGrantRequest(
            AttemptId attempt, RequestShape shape, int generated, Choice choice, long millisLeft) {
        return GrantRequestFactory.DEFAULTS.prefill(
                attempt, request(shape, generated, millisLeft), candidate(choice), millisLeft);
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
        Map<BackendId, BackendSpec> backends = mBlackboard.view().backends();
        PlacementRequest request = request(shape, generated, millisLeft);
        BackendSpec decode = backends.get(choice.backend());
        BackendSpec source = backends.get(prefill);
        if (decode == null || source == null) {
            // Deleted since it was ranked; its owner will refuse.
            return GrantRequestFactory.DEFAULTS.prefill(attempt, request, candidate(choice), 0);
        }
        return GrantRequestFactory.DEFAULTS.decode(
                attempt, request, decode, source, prefillEndInMillis, millisLeft);
    }

    @Override
    public boolean tryAcquireRetry(RequestShape shape, RetryReason reason, long now) {
        synchronized (mRetries) {
            return mRetries.tryAcquire(shape.service(), now);
        }
    }

    @Override
    public void backendUnreachable(BackendId backend, long now) {
        mLosses.onUnreachable(backend, now);
    }

    @Override
    public void backendCrashed(RequestShape shape, BackendId backend, long now) {
        mLosses.onCrash(backend, shape.fingerprint(), now);
    }

    private Either<Refusal, List<Choice>> choices(
            RequestShape shape, List<Candidate> ranked, long now) {
        if (ranked.isEmpty()) {
            return Either.left(noChoice(shape, now));
        }
        return Either.right(
                ranked.stream()
                        .map(
                                candidate ->
                                        new Choice(
                                                candidate.backend(),
                                                candidate.predictedMillis(),
                                                candidate.cachedTokens()))
                        .collect(Collectors.toList()));
    }

    private static Candidate candidate(Choice choice) {
        return new Candidate(choice.backend(), choice.predictedMillis(), choice.cachedTokens());
    }

    private Refusal noChoice(RequestShape shape, long now) {
        return mBlackboard
                .quarantine()
                .read(table -> table.quarantinedMillis(shape.fingerprint(), now))
                .map(millis -> new Refusal(RefusalReason.QUARANTINED, "", Math.max(1, millis)))
                .orElseGet(
                        () ->
                                Refusal.of(
                                        RefusalReason.NO_BACKEND,
                                        "No backend server of " + shape.service() + " is left."));
    }

    private PlacementRequest request(RequestShape shape, int generated, long millisLeft) {
        int expected = mLearning.expectedTokens(shape);
        long tokens = shape.promptTokens() + (long) generated + expected;
        return new PlacementRequest(
                shape.service(),
                shape.promptTokens() + generated,
                shape.blockHashes(),
                BackendSpec.piecesFor(tokens),
                shape.kvBytes(generated),
                expected,
                mDomain,
                millisLeft);
    }

    private PlacementView view(RequestShape shape, Set<BackendId> excluded, long now) {
        ConfigurationView configuration = mBlackboard.view();
        return new PlacementView(
                views(configuration, shape, BackendRole.PREFILL, excluded, now),
                views(configuration, shape, BackendRole.DECODE, excluded, now),
                mPrefixes,
                CostFactors.NEUTRAL,
                mTurns.get());
    }

    private List<BackendView> views(
            ConfigurationView configuration,
            RequestShape shape,
            BackendRole role,
            Set<BackendId> excluded,
            long now) {
        List<BackendSpec> serving = configuration.serving(shape.service(), role);
        return mBlackboard
                .backends()
                .read(
                        table ->
                                serving.stream()
                                        .map(
                                                spec ->
                                                        new BackendView(
                                                                spec,
                                                                table.hint(spec.id()),
                                                                table.hintAgeMillis(spec.id(), now),
                                                                table.inFlight(spec.id()),
                                                                excluded.contains(spec.id())
                                                                        || !mayRun(
                                                                                shape, spec, now),
                                                                table.suspected(spec.id(), now),
                                                                mDistances.oneWayMillis(
                                                                        mDomain,
                                                                        spec.failureDomain())))
                                        .collect(Collectors.toList()));
    }

    private boolean mayRun(RequestShape shape, BackendSpec spec, long now) {
        return mBlackboard
                .quarantine()
                .read(
                        table ->
                                table.mayRun(shape.fingerprint(), spec.id(), now)
                                        == Verdict.MAY_RUN);
    }
}
