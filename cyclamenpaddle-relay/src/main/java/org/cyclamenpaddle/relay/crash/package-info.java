/**
 * Attributes the ends of backend servers to the requests that they ran, and refuses a request that
 * ends each server.
 */
package org.cyclamenpaddle.relay.crash;
