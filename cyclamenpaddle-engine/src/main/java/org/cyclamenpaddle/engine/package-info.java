/** Client of engines and plain services. */
package org.cyclamenpaddle.engine;
