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
import org.cyclamenpaddle.routing.memory.EngineWork;
import org.cyclamenpaddle.routing.memory.MemoryForecast;
import org.cyclamenpaddle.routing.memory.OutputLengths;
import org.cyclamenpaddle.routing.memory.RunningWork;

/** What each service's generations ask of engines, as this host has seen them; thread-safe. */
public final class DemandMeter {

    /** Least weight of the newest generation: about the last hundred count. */
    private static final double NEWEST_WEIGHT = 0.01;

    /** Generations from which a mean says enough. */
    private static final int ENOUGH = 60;

    /**
     * Standard deviations that are kept free above the mean sum of what engines hold.
     *
     * <p>A sum that turns out higher preempts a generation, which is read again and then late; one
     * that is refused for want of room is late as well, but has cost nothing.
     */
    private static final double CAUTION = 1;

    private static final class Seen {
        private final OutputLengths mLengths = new OutputLengths();
        private final MemoryForecast mOutlook = new MemoryForecast(mLengths, CAUTION);
        private Demand mMean = new Demand(0, 0, 0);
        private int mEnded;

        private void ended(Demand demand) {
            mEnded++;
            mMean = mMean.with(demand, Math.max(NEWEST_WEIGHT, 1.0 / mEnded));
        }
    }

    private final Table<Map<ServiceName, Seen>> mSeen =
            new Table<>(TableOrder.DEMAND, new HashMap<>());

    /** Takes in a generation that has arrived. */
    public void recordStart(ServiceName service, WorkSize size) {
        mSeen.write(seen -> of(seen, service).mLengths.begun(size.asNewWork()));
    }

    /**
     * Takes in a generation that has ended well.
     *
     * @param service its service
     * @param size what was known of it at its arrival
     * @param demand what it has asked for
     */
    public void recordEnd(ServiceName service, WorkSize size, Demand demand) {
        mSeen.write(
                seen -> {
                    Seen known = of(seen, service);
                    known.ended(demand);
                    known.mLengths.ended(size.outputTokens(), (long) demand.outputTokens());
                });
    }

    /** Returns the mean demand of a service; empty until enough of its generations have ended. */
    public Optional<Demand> of(ServiceName service) {
        return mSeen.read(
                seen ->
                        Optional.ofNullable(seen.get(service))
                                .filter(known -> known.mEnded >= ENOUGH)
                                .map(known -> known.mMean));
    }

    /**
     * Returns the tokens that must be free at an engine beside a new generation's place; see {@link
     * MemoryForecast#room}.
     *
     * @param service the service
     * @param shape of its engines
     * @param runs what the engine runs, as last reported
     * @param reportMillis age of the report
     * @param size the new generation
     */
    public OptionalLong requiredFreeTokens(
            ServiceName service,
            EngineProfile shape,
            List<RunningWork> runs,
            long reportMillis,
            WorkSize size) {
        return mSeen.read(
                seen -> {
                    Seen known = of(seen, service);
                    long since = Math.round(known.mMean.tokensPerMilli() * reportMillis);
                    return known.mOutlook.room(
                            new EngineWork(shape.memoryTokens(), runs, since), size.asNewWork());
                });
    }

    private static Seen of(Map<ServiceName, Seen> seen, ServiceName service) {
        return seen.computeIfAbsent(service, any -> new Seen());
    }
}
