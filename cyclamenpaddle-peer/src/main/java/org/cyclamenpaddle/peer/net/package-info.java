/** TCP connections between entry hosts, with requests, one-way messages and probes. */
package org.cyclamenpaddle.peer.net;
