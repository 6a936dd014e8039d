/**
 * The stand-in of the platform's lagging list of VMs.
 *
 * <p>Start with {@link io.briarward.standins.vms.VmListStandIn}.
 */
package io.briarward.standins.vms;
