/** Client of the operators' API that tries one entry host after another. */
package org.cyclamenpaddle.ctl.client;
