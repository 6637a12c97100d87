/** Retry budget and backoff. */
package org.cyclamenpaddle.routing.retry;
