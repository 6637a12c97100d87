/** Registration and count of the live hosts, among which shared limits are divided. */
package org.cyclamenpaddle.relay.host;
