/** Decision lines: bounded, structured and never blocking. */
package org.cyclamenpaddle.relay.log;
