/** Retry policy of one request: which sends may be retried and which reply its caller may get. */
package org.cyclamenpaddle.relay.retry;
