/** Detection of lost paths to backend servers, and the hosts that take over requests meanwhile. */
package org.cyclamenpaddle.relay.handover;
