/** Parses and aggregates log lines of relays. */
package org.cyclamenpaddle.ctl.log;
