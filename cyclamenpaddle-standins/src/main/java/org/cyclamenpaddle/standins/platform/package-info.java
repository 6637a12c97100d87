/** In-memory stand-in for the platform's object API and host list, with fault switches. */
package org.cyclamenpaddle.standins.platform;
