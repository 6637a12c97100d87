/** Decisions about requests that a host without paths to the backend servers hands over. */
package org.cyclamenpaddle.routing.handover;
