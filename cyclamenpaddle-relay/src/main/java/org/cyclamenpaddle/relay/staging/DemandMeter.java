package org.cyclamenpaddle.relay.staging;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;

/** Mean demand of each service's generations as this host has seen them; safe for many threads. */
public final class DemandMeter {

    /** Weight of the newest generation: about the last hundred count, some ten seconds' worth. */
    private static final double NEWEST_WEIGHT = 0.01;

    private final Table<Map<ServiceName, Demand>> mMeans =
            new Table<>(TableOrder.DEMAND, new HashMap<>());

    /** Takes in a generation that has ended. */
    public void ended(ServiceName service, Demand demand) {
        mMeans.write(
                means ->
                        means.merge(
                                service,
                                mixed(Demand.USUAL, demand),
                                (old, first) -> mixed(old, demand)));
    }

    /** Returns the mean demand of a service. */
    public Demand of(ServiceName service) {
        return mMeans.read(means -> means.getOrDefault(service, Demand.USUAL));
    }

    private static Demand mixed(Demand old, Demand newest) {
        return new Demand(
                mixed(old.promptTokens(), newest.promptTokens()),
                mixed(old.outputTokens(), newest.outputTokens()),
                mixed(old.decodeMillis(), newest.decodeMillis()));
    }

    private static double mixed(double old, double newest) {
        return old + NEWEST_WEIGHT * (newest - old);
    }
}
