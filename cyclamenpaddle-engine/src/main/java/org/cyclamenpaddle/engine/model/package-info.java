/** Client of model engines: prefill, decode streams, cancel, state and orders. */
package org.cyclamenpaddle.engine.model;
