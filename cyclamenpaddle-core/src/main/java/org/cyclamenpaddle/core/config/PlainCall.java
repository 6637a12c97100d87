package org.cyclamenpaddle.core.config;

/**
 * One call that a plain service offers.
 *
 * @param method HTTP method, upper case
 * @param path path below the service, starting with '/'
 * @param repeatable whether running it twice does no harm; else it takes an Idempotency-Key
 * @param timeoutMillis longest wait for an answer, in milliseconds
 */
public record PlainCall(String method, String path, boolean repeatable, long timeoutMillis) {

    public PlainCall {
        if (method == null || !method.matches("[A-Z]+")) {
            throw new IllegalArgumentException("call method '" + method + "' must be upper case");
        }
        if (path == null || !path.startsWith("/")) {
            throw new IllegalArgumentException("call path '" + path + "' must start with '/'");
        }
        if (timeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "call timeout " + timeoutMillis + " ms must be above 0");
        }
    }
}
