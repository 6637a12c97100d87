/** The relay: forwards requests to backend servers by configured routes. */
package org.cyclamenpaddle.relay;
