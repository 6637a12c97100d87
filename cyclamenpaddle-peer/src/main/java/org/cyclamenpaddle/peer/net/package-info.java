/** TCP connections between entry hosts, with asks, one-way messages and probes. */
package org.cyclamenpaddle.peer.net;
