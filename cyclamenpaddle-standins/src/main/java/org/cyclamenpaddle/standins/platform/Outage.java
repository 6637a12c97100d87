package org.cyclamenpaddle.standins.platform;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.util.function.Supplier;
import org.cyclamenpaddle.standins.http.JsonResponses;

/** Availability of the platform's API. */
public enum Outage {
    /** Calls are served. */
    NONE {
        @Override
        HttpResponse apply(Supplier<HttpResponse> call) {
            return call.get();
        }
    },
    /** Calls are rejected immediately and have no effect. */
    REFUSE {
        @Override
        HttpResponse apply(Supplier<HttpResponse> call) {
            return JsonResponses.error(
                    HttpStatus.SERVICE_UNAVAILABLE, "unavailable", "the platform is down");
        }
    },
    /** Calls never receive a response and have no effect. */
    HANG {
        @Override
        HttpResponse apply(Supplier<HttpResponse> call) {
            return JsonResponses.never();
        }
    };

    abstract HttpResponse apply(Supplier<HttpResponse> call);
}
