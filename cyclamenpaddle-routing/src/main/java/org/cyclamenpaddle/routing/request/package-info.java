/**
 * The life of one model request as a pure state machine.
 *
 * <p>Typed events and a time go in, typed effects come out. The entry host's process performs the
 * effects; a seeded run performs them on fakes.
 */
package org.cyclamenpaddle.routing.request;
