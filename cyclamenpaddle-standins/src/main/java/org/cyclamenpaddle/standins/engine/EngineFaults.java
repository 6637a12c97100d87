package org.cyclamenpaddle.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Body of {@code POST /standin/faults}; an absent member leaves its setting unchanged.
 *
 * @param stallTransfersValue number of next exports that transfer no bytes
 * @param loseCancelsValue number of next cancels that have no effect and drop their connection
 * @param refuseValue whether new work is rejected as full
 * @param loadLagMillisValue delay of the published load, in modelled milliseconds
 * @param restartMillisValue delay from a crash to the restart, in real milliseconds; -1 for none
 * @param silenceStreams whether to stop all traffic on the connections of open streams now
 * @param crash whether to crash now
 */
record EngineFaults(
        @JsonProperty("stallTransfers") Integer stallTransfersValue,
        @JsonProperty("loseCancels") Integer loseCancelsValue,
        @JsonProperty("refuse") Boolean refuseValue,
        @JsonProperty("loadLagMillis") Long loadLagMillisValue,
        @JsonProperty("restartMillis") Long restartMillisValue,
        boolean silenceStreams,
        boolean crash) {

    Optional<Integer> stallTransfers() {
        return Optional.ofNullable(stallTransfersValue);
    }

    Optional<Integer> loseCancels() {
        return Optional.ofNullable(loseCancelsValue);
    }

    Optional<Boolean> refuse() {
        return Optional.ofNullable(refuseValue);
    }

    Optional<Long> loadLagMillis() {
        return Optional.ofNullable(loadLagMillisValue);
    }

    Optional<Long> restartMillis() {
        return Optional.ofNullable(restartMillisValue);
    }
}
