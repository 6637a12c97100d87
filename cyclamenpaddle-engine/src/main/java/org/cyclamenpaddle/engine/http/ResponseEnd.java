package org.cyclamenpaddle.engine.http;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.ResponseHeaders;

/**
 * How the response of a backend server ended.
 *
 * <p>The framing of a response does not suffice to call it complete: without a length and without
 * chunks it ends with its connection, also where its server crashed and closed the connection in an
 * orderly way.
 */
public enum ResponseEnd {
    /** All bytes of the stated length arrived. */
    LENGTH_REACHED(true, "length reached"),
    /** The last chunk arrived, or the server closed the connection of a response without length. */
    CLOSED(true, "closed"),
    /** The response ended within an event of its stream, whatever its framing. */
    INSIDE_EVENT(false, "ended inside an event"),
    /** The stream has no event, and only the close of its connection marks its end. */
    NO_EVENT(false, "ended without an event"),
    /** The response ended without the event that marks the end of its stream. */
    NO_END_EVENT(false, "ended without its end event");

    private final boolean mComplete;
    private final String mText;

    ResponseEnd(boolean complete, String text) {
        mComplete = complete;
        mText = text;
    }

    /**
     * Classifies the end of a response by its framing. A response whose connection failed before
     * its end has none.
     *
     * @param head head of the response
     */
    public static ResponseEnd of(ResponseHeaders head) {
        return head.contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH_REACHED : CLOSED;
    }

    /** Returns whether the response is complete. */
    public boolean complete() {
        return mComplete;
    }

    /** Returns a description for logs. */
    public String text() {
        return mText;
    }
}
