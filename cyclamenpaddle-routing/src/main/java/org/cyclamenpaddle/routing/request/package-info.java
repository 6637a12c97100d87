/**
 * State machine of one model request, without side effects.
 *
 * <p>It takes typed events with their times and returns typed effects. The process of the entry
 * host performs the effects; a seeded run performs them on fakes.
 */
package org.cyclamenpaddle.routing.request;
