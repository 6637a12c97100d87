/** The HTTP server towards callers and the client towards backend servers. */
package org.cyclamenpaddle.relay.front;
