/**
 * Streams that callers take up again, at any host: where they began, and what the hosts tell each
 * other about it.
 */
package org.cyclamenpaddle.relay.resume;
