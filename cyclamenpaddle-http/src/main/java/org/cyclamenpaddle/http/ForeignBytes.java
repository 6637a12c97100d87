package org.cyclamenpaddle.http;

/**
 * Bytes on a client connection that are not the response to the request on it.
 *
 * @param kind how they were recognised
 * @param address IP address and port of the server
 * @param connection connection and number of the last request on it, for logs
 */
public record ForeignBytes(Kind kind, String address, String connection) {

    /** How foreign bytes are recognised. */
    public enum Kind {
        /** They arrived while no request waited for a response. */
        UNREQUESTED("no request waited for them"),
        /** A response head contains the status line of another response. */
        JOINED_HEADS("two response heads are joined");

        private final String mText;

        Kind(String text) {
            mText = text;
        }

        /** Returns a description for logs. */
        public String text() {
            return mText;
        }
    }

    /** Notified of foreign bytes, on the event loop of their connection. */
    @FunctionalInterface
    public interface Listener {
        void found(ForeignBytes bytes);
    }
}
