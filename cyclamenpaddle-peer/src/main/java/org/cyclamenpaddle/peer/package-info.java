/** Peer protocol between entry hosts: MessagePack frames over TCP. */
package org.cyclamenpaddle.peer;
