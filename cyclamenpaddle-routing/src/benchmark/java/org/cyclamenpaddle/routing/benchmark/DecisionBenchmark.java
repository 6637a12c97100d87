package org.cyclamenpaddle.routing.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.grant.GrantLedger;
import org.cyclamenpaddle.routing.grant.LedgerSettings;
import org.cyclamenpaddle.routing.placement.BackendView;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.cyclamenpaddle.routing.placement.CostFactors;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.cyclamenpaddle.routing.placement.PlacementRequest;
import org.cyclamenpaddle.routing.placement.PlacementView;
import org.cyclamenpaddle.routing.placement.PrefixHints;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time to rank all engines as one service, and to request a grant from a full ledger
 * among many.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {

    private static final int SLOTS = 20;
    private static final long HOLD_MILLIS = 3_000;
    private static final long LATEST_MILLIS = 480;
    private static final FailureDomain DOMAIN = new FailureDomain("benchmark");
    private static final Incarnation HOST = new Incarnation(new HostId("host"), 1);

    @Param({"13", "130", "770"})
    private int mEngines;

    private final UniformRandomProvider mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    private final List<GrantLedger> mLedgers = new ArrayList<>();

    private PlacementView mView;
    private PlacementRequest mRequest;
    private long mNumber;

    /** Fills every ledger and adds half as many promises. */
    @Setup
    public void fill() {
        List<BackendView> views = new ArrayList<>();
        for (int i = 0; i < mEngines; i++) {
            BackendSpec spec = spec(i);
            GrantLedger ledger = new GrantLedger(spec, BackendRole.DECODE, LedgerSettings.DEFAULTS);
            for (int held = 0; held < SLOTS * 3 / 2; held++) {
                ledger.request(ask(spec.id(), 20_000), -mRandom.nextInt((int) HOLD_MILLIS));
            }
            mLedgers.add(ledger);
            LedgerSummary hint = ledger.summary(0);
            views.add(new BackendView(spec, Optional.of(hint), 200, 0, false, false, 0));
        }
        mView = new PlacementView(views, views, PrefixHints.NONE, CostFactors.NEUTRAL, 0);
        mRequest =
                new PlacementRequest(
                        new ServiceName("model"),
                        2_000,
                        List.of(),
                        1,
                        160_000_000,
                        100,
                        DOMAIN,
                        580);
    }

    /** Ranks prefill servers, then decode servers. */
    @Benchmark
    public List<Candidate> rank() {
        PlacementPolicy policy = PlacementPolicy.TIMED_GRANTS;
        List<Candidate> prefill = policy.rankPrefill(mRequest, mView, mRandom);
        return policy.rankDecode(mRequest, mView, mRandom, prefill.get(0).predictedMillis());
    }

    /** Requests a grant from the next ledger in turn and releases it. */
    @Benchmark
    public GrantResponse ask() {
        int turn = (int) (mNumber % mEngines);
        GrantRequest request = ask(mView.decode().get(turn).id(), LATEST_MILLIS);
        GrantResponse response = mLedgers.get(turn).request(request, 0);
        mLedgers.get(turn).release(request.attempt(), -1);
        return response;
    }

    private GrantRequest ask(BackendId backend, long latestMillis) {
        AttemptId attempt = AttemptId.of(HOST, mNumber++);
        return new GrantRequest(
                attempt, backend, BackendRole.DECODE, 100, 1, 0, 100, latestMillis, HOLD_MILLIS);
    }

    private static BackendSpec spec(int number) {
        return new BackendSpec(
                new BackendId("runner-" + number),
                DOMAIN,
                "127.0.0.1",
                1,
                SLOTS,
                400,
                28_000,
                30,
                4_000_000_000L,
                FencingSupport.IGNORES,
                false);
    }
}
