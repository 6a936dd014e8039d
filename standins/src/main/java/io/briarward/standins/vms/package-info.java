/**
 * The stand-in for the platform's list of VMs, which lags behind.
 *
 * <p>Start with {@link io.briarward.standins.vms.VmListStandIn}.
 */
package io.briarward.standins.vms;
