/**
 * The stand-in for the platform's transactional table service.
 *
 * <p>Start with {@link io.briarward.standins.table.TableStandIn}.
 */
package io.briarward.standins.table;
