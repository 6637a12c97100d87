package org.cyclamenpaddle.routing.admission;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.routing.placement.CostFactors;

/**
 * Learns how actual prefill and transfer times of each service relate to the predicted ones.
 *
 * <p>A bounded moving average: a single stalled transfer can't make every request look hopeless,
 * and a fast one can't make the predictions useless. Not thread-safe.
 */
public final class PredictionCorrection {

    private static final double WEIGHT = 0.05;
    private static final double MIN_FACTOR = 0.5;
    private static final double MAX_FACTOR = 3;

    private final Map<ServiceName, CostFactors> mFactors = new HashMap<>();

    /**
     * Takes in one prefill.
     *
     * @param service the service
     * @param predictedMillis time predicted without correction, queueing left out
     * @param actualMillis time it took
     */
    public void prefillTook(ServiceName service, long predictedMillis, long actualMillis) {
        CostFactors old = factors(service);
        double learned = learn(old.prefill(), predictedMillis, actualMillis);
        mFactors.put(service, new CostFactors(learned, old.transfer()));
    }

    /**
     * Takes in one transfer.
     *
     * @param service the service
     * @param predictedMillis time predicted without correction, queueing left out
     * @param actualMillis time it took
     */
    public void transferTook(ServiceName service, long predictedMillis, long actualMillis) {
        CostFactors old = factors(service);
        double learned = learn(old.transfer(), predictedMillis, actualMillis);
        mFactors.put(service, new CostFactors(old.prefill(), learned));
    }

    /** Returns the learned factors of a service. */
    public CostFactors factors(ServiceName service) {
        return mFactors.getOrDefault(service, CostFactors.NEUTRAL);
    }

    private static double learn(double old, long predictedMillis, long actualMillis) {
        if (predictedMillis <= 0 || actualMillis < 0) {
            return old;
        }
        double ratio = clamp((double) actualMillis / predictedMillis);
        return clamp(old + WEIGHT * (ratio - old));
    }

    private static double clamp(double factor) {
        return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    }
}
