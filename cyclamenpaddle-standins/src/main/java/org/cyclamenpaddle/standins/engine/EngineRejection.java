package org.cyclamenpaddle.standins.engine;

import com.linecorp.armeria.common.HttpStatus;
import java.util.Locale;

/** Reasons for which an engine rejects a request or an order. */
enum EngineRejection {
    FULL(HttpStatus.SERVICE_UNAVAILABLE),
    CANCELLED(HttpStatus.CONFLICT),
    EXISTS(HttpStatus.CONFLICT),
    PRIOR_MISMATCH(HttpStatus.BAD_REQUEST),
    STALE_FENCE(HttpStatus.CONFLICT);

    private final HttpStatus mStatus;

    EngineRejection(HttpStatus status) {
        mStatus = status;
    }

    HttpStatus status() {
        return mStatus;
    }

    String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
