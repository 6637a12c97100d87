/** Orders to engines: bringing each one in line with what the preset in force asks. */
package org.cyclamenpaddle.fleet.order;
