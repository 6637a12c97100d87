/** What a host knows of backend servers, and the choice among them. */
package org.cyclamenpaddle.relay.backend;
