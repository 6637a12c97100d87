/** Composition of the relay process, its start and its stop. */
package org.cyclamenpaddle.relay.assembly;
