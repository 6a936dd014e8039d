/**
 * The stand-in for the platform's list of VMs, which is served with a lag.
 *
 * <p>Start with {@link io.briarward.standins.vms.VmListStandIn}.
 */
package io.briarward.standins.vms;
