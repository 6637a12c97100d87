/** Configuration objects that operators declare, and their validation. */
package org.cyclamenpaddle.core.config;
