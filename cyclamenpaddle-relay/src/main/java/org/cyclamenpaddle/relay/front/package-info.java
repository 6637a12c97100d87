/** HTTP server for callers and HTTP client for backend servers. */
package org.cyclamenpaddle.relay.front;
