/**
 * Encoding and decoding of the frames between entry hosts: typed messages as MessagePack fields.
 */
package org.cyclamenpaddle.peer.codec;
