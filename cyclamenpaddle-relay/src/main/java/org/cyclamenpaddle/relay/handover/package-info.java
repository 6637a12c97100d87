/** Detection of lost paths to backend servers. */
package org.cyclamenpaddle.relay.handover;
