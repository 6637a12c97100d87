/** Caller-facing HTTP services: completions, calls of plain services, health and metrics. */
package org.cyclamenpaddle.router.front;
