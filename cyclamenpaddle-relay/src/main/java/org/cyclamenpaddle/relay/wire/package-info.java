/** Ports behind which a deployment's own messages are translated. */
package org.cyclamenpaddle.relay.wire;
