/** Following configuration and backend servers in a store, through a narrow port. */
package org.cyclamenpaddle.relay.store;
