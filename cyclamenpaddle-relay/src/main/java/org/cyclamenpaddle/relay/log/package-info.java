/** Event log: bounded, structured and non-blocking. */
package org.cyclamenpaddle.relay.log;
