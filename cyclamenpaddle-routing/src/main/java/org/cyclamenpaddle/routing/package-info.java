/**
 * Side-effect-free decisions on requests: admission, placement, grants, limits, retries,
 * quarantine.
 */
package org.cyclamenpaddle.routing;
