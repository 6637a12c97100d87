/** Frames between entry hosts: MessagePack fields in, typed messages out, and back. */
package org.cyclamenpaddle.peer.codec;
