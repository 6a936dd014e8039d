/**
 * Clients of the platform's interfaces.
 *
 * <p>Start with {@link io.briarward.node.platform.TableService}. Every client returns RxJava types
 * that fail with a {@link io.briarward.node.platform.PlatformException}.
 */
package io.briarward.node.platform;
