/** Decisions about which backend servers a host has a network path to. */
package org.cyclamenpaddle.routing.connectivity;
