package org.cyclamenpaddle.standins.platform;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.util.function.Supplier;
import org.cyclamenpaddle.standins.http.Answers;

/** How the platform answers calls. */
public enum Outage {
    /** Calls are answered. */
    NONE {
        @Override
        HttpResponse answer(Supplier<HttpResponse> call) {
            return call.get();
        }
    },
    /** Calls are refused at once and have no effect. */
    REFUSE {
        @Override
        HttpResponse answer(Supplier<HttpResponse> call) {
            return Answers.error(
                    HttpStatus.SERVICE_UNAVAILABLE, "unavailable", "the platform is down");
        }
    },
    /** Calls get no answer and have no effect. */
    HANG {
        @Override
        HttpResponse answer(Supplier<HttpResponse> call) {
            return Answers.never();
        }
    };

    abstract HttpResponse answer(Supplier<HttpResponse> call);
}
