/** Replica of the configuration objects on each host, and how it is kept in line with others. */
package org.cyclamenpaddle.fleet.configuration;
