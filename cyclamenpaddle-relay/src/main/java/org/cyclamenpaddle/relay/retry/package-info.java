/** Retry policy of one request: which sends may be repeated and which reply its caller may get. */
package org.cyclamenpaddle.relay.retry;
