/**
 * Bounds on the bytes that a process holds for callers and backend servers: bodies of requests, and
 * parts of responses that a caller has not read yet.
 *
 * <p>One {@link org.cyclamenpaddle.routing.buffer.ByteAccount} bounds the sum of a process. Each
 * request holds its bytes through one {@link org.cyclamenpaddle.routing.buffer.RequestBytes}, which
 * returns all of them when it is closed.
 */
package org.cyclamenpaddle.routing.buffer;
