package org.cyclamenpaddle.standins.engine;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.function.Predicate;
import org.cyclamenpaddle.standins.http.SilencedConnections;

/** Streaming HTTP response with the events of a decode attempt, as newline-delimited JSON. */
final class EventStream implements Predicate<EngineEvent> {

    private static final MediaType NDJSON = MediaType.create("application", "x-ndjson");

    private final ServiceRequestContext mContext;
    private final SilencedConnections mSilenced;
    private final HttpResponseWriter mWriter = HttpResponse.streaming();

    EventStream(ServiceRequestContext ctx, SilencedConnections silenced) {
        mContext = ctx;
        mSilenced = silenced;
        mWriter.write(ResponseHeaders.builder(HttpStatus.OK).contentType(NDJSON).build());
    }

    HttpResponse response() {
        return mWriter;
    }

    ServiceRequestContext context() {
        return mContext;
    }

    boolean open() {
        return mWriter.isOpen();
    }

    @Override
    public boolean test(EngineEvent event) {
        if (mSilenced.silenced(mContext)) {
            return false;
        }
        boolean written = mWriter.tryWrite(HttpData.ofUtf8(event.line()));
        if (event.last()) {
            mWriter.close();
        }
        return written;
    }
}
