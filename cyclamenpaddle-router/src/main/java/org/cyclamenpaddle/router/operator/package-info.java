/** The operators' API over HTTP, and the narrow roles of the host that it is built over. */
package org.cyclamenpaddle.router.operator;
