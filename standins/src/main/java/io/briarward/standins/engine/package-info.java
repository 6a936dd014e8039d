/**
 * The stand-in for a model engine.
 *
 * <p>Start with {@link io.briarward.standins.engine.EngineStandIn}.
 */
package io.briarward.standins.engine;
