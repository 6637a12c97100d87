/** Clients of model engines and plain services. */
package org.cyclamenpaddle.engine;
