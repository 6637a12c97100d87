package org.cyclamenpaddle.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Fault switches as scripts post them to {@code /standin/faults}; an absent one is left as it is.
 *
 * @param stallTransfersValue next exports that never move a byte
 * @param loseCancelsValue next cancels that have no effect and lose their connection
 * @param refuseValue whether new work is refused as full
 * @param loadLagMillisValue age of the published load, in modelled milliseconds
 * @param restartMillisValue wait from a crash to the restart, in machine milliseconds; -1 for none
 * @param silenceStreams whether to silence the connections of open streams now
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
