package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.memory.ByteBudget;
import io.briarward.node.batch.BatchDecoder;
import io.briarward.node.batch.RewardClient;
import io.briarward.node.batch.SamplerClient;
import io.briarward.node.fleet.FleetDecoder;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ObjectStore;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.UsageReports;

/**
 * The external services that a gateway uses and the protocols that it speaks.
 *
 * @param submissionMemory the memory of all submissions that the process keeps
 */
public record GatewayDependencies(
    TableService tables,
    ChangeFeed feed,
    ObjectStore objects,
    UsageReports reports,
    FleetDecoder decoder,
    BatchDecoder batchDecoder,
    ByteBudget submissionMemory,
    SamplerClient samplers,
    RewardClient rewards,
    SamplerOrders orders,
    UpstreamProtocol upstreamProtocol,
    CallerProtocol callerProtocol) {
  /** Validates the components. */
  public GatewayDependencies {
    checkNotNull(tables, "tables");
    checkNotNull(feed, "feed");
    checkNotNull(objects, "objects");
    checkNotNull(reports, "reports");
    checkNotNull(decoder, "decoder");
    checkNotNull(batchDecoder, "batchDecoder");
    checkNotNull(submissionMemory, "submissionMemory");
    checkNotNull(samplers, "samplers");
    checkNotNull(rewards, "rewards");
    checkNotNull(orders, "orders");
    checkNotNull(upstreamProtocol, "upstreamProtocol");
    checkNotNull(callerProtocol, "callerProtocol");
  }
}
