/** The operator API over HTTP, and the narrow interfaces of the host that it depends on. */
package org.cyclamenpaddle.router.operator;
