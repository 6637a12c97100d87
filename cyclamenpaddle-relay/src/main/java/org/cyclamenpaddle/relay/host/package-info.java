/** How many hosts there are, as far as the store shows, so that shared bounds can be divided. */
package org.cyclamenpaddle.relay.host;
