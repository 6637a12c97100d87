/** Interfaces that translate between the relay and the messages of a deployment. */
package org.cyclamenpaddle.relay.wire;
