/** Quarantine of requests that crash backend servers. */
package org.cyclamenpaddle.routing.quarantine;
