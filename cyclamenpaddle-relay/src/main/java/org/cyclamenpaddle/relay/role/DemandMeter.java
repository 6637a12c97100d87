package org.cyclamenpaddle.relay.role;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.cyclamenpaddle.routing.memory.EngineGenerations;
import org.cyclamenpaddle.routing.memory.MemoryForecast;
import org.cyclamenpaddle.routing.memory.OutputLengths;
import org.cyclamenpaddle.routing.memory.RunningGeneration;

/** Measures the demand of each service's generations as observed by this host; thread-safe. */
public final class DemandMeter {

    /** Minimum weight of the newest generation; about the last hundred count. */
    private static final double MIN_NEWEST_WEIGHT = 0.01;

    /** Number of completed generations from which the mean is significant. */
    private static final int MIN_GENERATIONS = 60;

    /**
     * Safety margin above the mean total memory demand, in standard deviations.
     *
     * <p>A total above the forecast preempts a generation, which is prefilled again and then late;
     * a generation that is rejected for lack of capacity is late as well, but has wasted nothing.
     */
    private static final double SAFETY_MARGIN_DEVIATIONS = 1;

    private static final class ServiceDemand {
        private final OutputLengths mLengths = new OutputLengths();
        private final MemoryForecast mForecast =
                new MemoryForecast(mLengths, SAFETY_MARGIN_DEVIATIONS);
        private Demand mMean = new Demand(0, 0, 0);
        private int mCompleted;

        private void recordEnd(Demand demand) {
            mCompleted++;
            mMean = mMean.withSample(demand, Math.max(MIN_NEWEST_WEIGHT, 1.0 / mCompleted));
        }
    }

    private final Table<Map<ServiceName, ServiceDemand>> mDemands =
            new Table<>(TableOrder.DEMAND, new HashMap<>());

    /** Records a generation that has arrived. */
    public void recordStart(ServiceName service, WorkSize size) {
        mDemands.write(demands -> of(demands, service).mLengths.started(size.asNewWork()));
    }

    /**
     * Records a generation that has completed successfully.
     *
     * @param service its service
     * @param size its size as known at its arrival
     * @param demand its actual demand
     */
    public void recordEnd(ServiceName service, WorkSize size, Demand demand) {
        mDemands.write(
                demands -> {
                    ServiceDemand demandOfService = of(demands, service);
                    demandOfService.recordEnd(demand);
                    demandOfService.mLengths.ended(
                            size.outputTokens(), (long) demand.outputTokens());
                });
    }

    /**
     * Returns the mean demand of a service; empty until enough of its generations have completed.
     */
    public Optional<Demand> of(ServiceName service) {
        return mDemands.read(
                demands ->
                        Optional.ofNullable(demands.get(service))
                                .filter(
                                        demandOfService ->
                                                demandOfService.mCompleted >= MIN_GENERATIONS)
                                .map(demandOfService -> demandOfService.mMean));
    }

    /**
     * Returns the number of tokens that must be free at an engine in addition to the reservation of
     * a new generation; see {@link MemoryForecast#requiredFreeTokens}.
     *
     * @param service the service
     * @param profile profile of its engines
     * @param generations generations that the engine runs, as last reported
     * @param reportAgeMillis age of the report, in milliseconds
     * @param size size of the new generation
     */
    public OptionalLong requiredFreeTokens(
            ServiceName service,
            EngineProfile profile,
            List<RunningGeneration> generations,
            long reportAgeMillis,
            WorkSize size) {
        return mDemands.read(
                demands -> {
                    ServiceDemand demandOfService = of(demands, service);
                    long tokensSinceReport =
                            Math.round(demandOfService.mMean.tokensPerMilli() * reportAgeMillis);
                    return demandOfService.mForecast.requiredFreeTokens(
                            new EngineGenerations(
                                    profile.memoryTokens(), generations, tokensSinceReport),
                            size.asNewWork());
                });
    }

    private static ServiceDemand of(Map<ServiceName, ServiceDemand> demands, ServiceName service) {
        return demands.computeIfAbsent(service, key -> new ServiceDemand());
    }
}
