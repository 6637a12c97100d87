/** Simulated engine: prefill, KV cache export, decode, prefix cache and fenced orders. */
package org.cyclamenpaddle.standins.engine;
