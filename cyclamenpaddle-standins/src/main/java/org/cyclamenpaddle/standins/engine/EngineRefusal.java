package org.cyclamenpaddle.standins.engine;

import com.linecorp.armeria.common.HttpStatus;
import java.util.Locale;

/** Why an engine does not take work. */
enum EngineRefusal {
    FULL(HttpStatus.SERVICE_UNAVAILABLE),
    CANCELLED(HttpStatus.CONFLICT),
    EXISTS(HttpStatus.CONFLICT),
    PRIOR_MISMATCH(HttpStatus.BAD_REQUEST),
    STALE_FENCE(HttpStatus.CONFLICT);

    private final HttpStatus mStatus;

    EngineRefusal(HttpStatus status) {
        mStatus = status;
    }

    HttpStatus status() {
        return mStatus;
    }

    String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
