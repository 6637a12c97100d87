/** Entry host process. */
package org.cyclamenpaddle.router;
