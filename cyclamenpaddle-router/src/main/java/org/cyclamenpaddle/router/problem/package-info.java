/** Refusals as HTTP answers of type {@code application/problem+json}. */
package org.cyclamenpaddle.router.problem;
