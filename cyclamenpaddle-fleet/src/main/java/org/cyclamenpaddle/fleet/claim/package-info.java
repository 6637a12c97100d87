/**
 * At-most-once bookings: claims of idempotency keys in the platform, and the state machine of one
 * booking, a plain service call with an Idempotency-Key.
 */
package org.cyclamenpaddle.fleet.claim;
