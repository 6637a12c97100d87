/** Reads relays' log lines and sums them up. */
package org.cyclamenpaddle.ctl.log;
