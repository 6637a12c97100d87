package org.cyclamenpaddle.core.config;

/**
 * Declaration of one call of a plain service.
 *
 * @param method HTTP method, upper case
 * @param path path relative to the service, starting with '/'
 * @param repeatable whether the call is idempotent and may be retried; otherwise it requires an
 *     Idempotency-Key
 * @param timeoutMillis response timeout in milliseconds
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
