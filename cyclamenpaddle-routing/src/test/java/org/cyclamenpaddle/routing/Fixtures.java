package org.cyclamenpaddle.routing;

import java.util.List;
import java.util.Optional;
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
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.placement.BackendView;
import org.cyclamenpaddle.routing.placement.CostFactors;
import org.cyclamenpaddle.routing.placement.PlacementRequest;
import org.cyclamenpaddle.routing.placement.PlacementView;
import org.cyclamenpaddle.routing.placement.PrefixHints;

/** Values shared by the tests of this module. */
public final class Fixtures {

    public static final FailureDomain DOMAIN = new FailureDomain("ahm");
    public static final ServiceName SERVICE = new ServiceName("malt-reader");
    public static final int PIECES = 100;
    public static final long PREFILL_RATE = 10_000;
    public static final long LINK_RATE = 1_000_000_000;

    private static final Incarnation HOST = new Incarnation(new HostId("ahm-1"), 1);

    private Fixtures() {}

    public static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    public static AttemptId attempt(long number) {
        return AttemptId.of(HOST, number);
    }

    public static BackendId id(int number) {
        return new BackendId("runner-" + number);
    }

    public static BackendSpec backend(int number, int slots) {
        return new BackendSpec(
                id(number),
                DOMAIN,
                "127.0.0.1",
                7_000,
                slots,
                PIECES,
                PREFILL_RATE,
                20,
                LINK_RATE,
                FencingSupport.IGNORES,
                false);
    }

    public static GrantRequest decodeAsk(long attempt, long needed, long latest, long hold) {
        return new GrantRequest(
                attempt(attempt), id(1), BackendRole.DECODE, 0, 1, 0, needed, latest, hold);
    }

    public static GrantRequest prefillAsk(long attempt, int tokens, long bytes, long latest) {
        return new GrantRequest(
                attempt(attempt), id(1), BackendRole.PREFILL, tokens, 1, bytes, 0, latest, 0);
    }

    public static BackendView view(int number, long freeInMillis, int freeSlots, long ageMillis) {
        LedgerSummary hint = new LedgerSummary(id(number), freeInMillis, freeSlots, PIECES, true);
        return new BackendView(
                backend(number, 20), Optional.of(hint), ageMillis, 0, false, false, 0);
    }

    public static PlacementView placement(List<BackendView> prefill, List<BackendView> decode) {
        return new PlacementView(prefill, decode, PrefixHints.NONE, CostFactors.NEUTRAL, 0);
    }

    public static PlacementRequest request(int promptTokens, long millisLeft) {
        return new PlacementRequest(
                SERVICE, promptTokens, List.of(), 1, 10_000_000, 100, DOMAIN, millisLeft);
    }
}
