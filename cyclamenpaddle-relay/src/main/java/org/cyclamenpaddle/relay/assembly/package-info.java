/** Composition, start and stop of the relay process. */
package org.cyclamenpaddle.relay.assembly;
