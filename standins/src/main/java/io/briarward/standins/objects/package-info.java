/**
 * The stand-in for the platform's object store.
 *
 * <p>Start with {@link io.briarward.standins.objects.ObjectStandIn}.
 */
package io.briarward.standins.objects;
