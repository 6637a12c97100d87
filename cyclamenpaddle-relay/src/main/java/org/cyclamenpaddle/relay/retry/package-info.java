/** Retry policy of one request: what may be sent again and what its caller may be told. */
package org.cyclamenpaddle.relay.retry;
