/** HTTP towards callers: completions, calls of plain services, health and metrics. */
package org.cyclamenpaddle.router.front;
