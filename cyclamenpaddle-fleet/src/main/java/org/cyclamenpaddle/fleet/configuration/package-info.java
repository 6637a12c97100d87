/** Replication of the configuration objects to every host. */
package org.cyclamenpaddle.fleet.configuration;
