/** Bookings at most once: claims by key in the platform, and the course of one keyed call. */
package org.cyclamenpaddle.fleet.claim;
