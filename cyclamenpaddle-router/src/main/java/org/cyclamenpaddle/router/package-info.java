/** The entry host process. */
package org.cyclamenpaddle.router;
