package org.cyclamenpaddle.router.failure;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.EngineStandin;
import org.cyclamenpaddle.standins.platform.Outage;

/** What {@link FleetChaosRun} does to the stand-ins around a fleet. */
enum ChaosFault {
    ENGINE_CRASH {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            EngineStandin engine = engine(fleet, random);
            engine.restartAfterCrash(random.nextInt(LONGEST_DOWN_MILLIS));
            engine.crash();
        }
    },
    SILENT_STREAMS {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            engine(fleet, random).silenceStreams();
        }
    },
    LOST_CANCELS {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            engine(fleet, random).loseCancels(1 + random.nextInt(FEW));
        }
    },
    STALLED_TRANSFERS {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            engine(fleet, random).stallTransfers(1 + random.nextInt(FEW));
        }
    },
    PLATFORM_OUTAGE {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            fleet.platform().outage(random.nextBoolean() ? Outage.REFUSE : Outage.HANG);
        }
    },
    PLATFORM_BACK {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            fleet.platform().outage(Outage.NONE);
        }
    },
    PLATFORM_LOST_ANSWERS {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            fleet.platform().loseResponses(1 + random.nextInt(FEW));
        }
    },
    SERVICE_LOST_ANSWERS {
        @Override
        void inject(TestFleet fleet, UniformRandomProvider random) {
            fleet.plain(1 + random.nextInt(PLAIN)).loseResponses(1 + random.nextInt(FEW));
        }
    };

    static final int PREFILL = 2;
    static final int DECODE = 2;
    static final int PLAIN = 2;

    private static final int FEW = 3;
    private static final int LONGEST_DOWN_MILLIS = 1_000;

    abstract void inject(TestFleet fleet, UniformRandomProvider random);

    /** Ends every fault that would not end by itself. */
    static void endAll(TestFleet fleet) {
        fleet.platform().outage(Outage.NONE);
        fleet.platform().loseResponses(0);
        fleet.plain(1).loseResponses(0);
        fleet.plain(2).loseResponses(0);
        engines(fleet).forEach(engine -> engine.loseCancels(0));
        engines(fleet).forEach(engine -> engine.stallTransfers(0));
    }

    /** Returns all faults in an order that {@code random} draws. */
    static List<ChaosFault> round(UniformRandomProvider random) {
        ChaosFault[] faults = values();
        for (int i = faults.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            ChaosFault swapped = faults[i];
            faults[i] = faults[other];
            faults[other] = swapped;
        }
        return Arrays.asList(faults);
    }

    private static EngineStandin engine(TestFleet fleet, UniformRandomProvider random) {
        return engines(fleet).toList().get(random.nextInt(PREFILL + DECODE));
    }

    private static Stream<EngineStandin> engines(TestFleet fleet) {
        return Stream.of(fleet.prefill(1), fleet.prefill(2), fleet.decode(1), fleet.decode(2));
    }
}
