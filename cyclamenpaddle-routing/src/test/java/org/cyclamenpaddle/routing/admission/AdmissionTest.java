package org.cyclamenpaddle.routing.admission;

import static org.cyclamenpaddle.routing.Fixtures.SERVICE;
import static org.cyclamenpaddle.routing.Fixtures.placement;
import static org.cyclamenpaddle.routing.Fixtures.random;
import static org.cyclamenpaddle.routing.Fixtures.request;
import static org.cyclamenpaddle.routing.Fixtures.view;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.routing.Fixtures;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.cyclamenpaddle.routing.placement.PlacementRequest;
import org.cyclamenpaddle.routing.placement.PlacementView;
import org.testng.annotations.Test;

public class AdmissionTest {

    private static final Admission ADMISSION =
            new Admission(PlacementPolicy.TIMED_GRANTS, AdmissionSettings.DEFAULTS);

    private static PlacementView pool(long prefillFreeIn, long decodeFreeIn) {
        return placement(
                List.of(view(1, prefillFreeIn, 0, 0)), List.of(view(2, decodeFreeIn, 0, 0)));
    }

    @Test
    public void admitsRequestThatCanMeetDeadline() {
        Admitted admitted = ADMISSION.admit(request(1_000, 580), pool(100, 300), random(1)).get();

        assertEquals(admitted.firstTokenInMillis(), 300 + 20);
        assertEquals(admitted.prefill().get(0).predictedMillis(), 210);
    }

    /**
     * The decode pool is full for longer than the first token may take, so a prefill now would be
     * evicted unused. The caller must get a 503 with a retry delay at once.
     */
    @Test
    public void refusesAtOnceRequestThatCannotMeetDeadline() {
        Refusal refusal = ADMISSION.admit(request(1_000, 580), pool(0, 2_580), random(1)).getLeft();

        assertEquals(refusal.reason(), RefusalReason.DEADLINE_UNREACHABLE);
        assertEquals(refusal.retryAfterMillis(), 2_580 + 20 + 10 - 580);
    }

    @Test
    public void refusesRequestLargerThanAnyEngine() {
        PlacementRequest tooLarge =
                new PlacementRequest(
                        SERVICE,
                        1_000,
                        List.of(),
                        Fixtures.PIECES + 1,
                        0,
                        100,
                        Fixtures.DOMAIN,
                        580);

        assertEquals(
                ADMISSION.admit(tooLarge, pool(0, 0), random(1)).getLeft().reason(),
                RefusalReason.PROMPT_TOO_LONG);
    }

    @Test
    public void refusesWithoutBackend() {
        PlacementView empty = placement(List.of(), List.of(view(1, 0, 1, 0)));

        assertEquals(
                ADMISSION.admit(request(1, 580), empty, random(1)).getLeft().reason(),
                RefusalReason.NO_BACKEND);
    }
}
