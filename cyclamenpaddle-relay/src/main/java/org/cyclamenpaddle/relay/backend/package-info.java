/** State of the backend servers as one host tracks it, and the selection among them. */
package org.cyclamenpaddle.relay.backend;
