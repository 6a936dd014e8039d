package io.briarward.node.admission;

import com.google.common.collect.ImmutableList;
import io.briarward.core.admission.Limit;
import io.briarward.core.admission.Share;
import io.briarward.core.admission.ShareGrant;
import io.briarward.core.admission.ShareReport;
import io.briarward.core.routing.DataCentreLoad;
import io.briarward.wire.proto.AdmissionMessage;
import io.briarward.wire.proto.LimitAmount;
import io.briarward.wire.proto.LimitGrant;
import io.briarward.wire.proto.LimitReport;
import io.briarward.wire.proto.ServiceLoad;

/** Converts admission messages between protobuf and the types of the core module. */
final class AdmissionCodec {
  private AdmissionCodec() {}

  static LimitReport encodeReport(ShareReport report) {
    return LimitReport.newBuilder()
        .setLimitId(report.limit().id())
        .setSequence(report.sequence())
        .setTotal(encodeShare(report.limit().total()))
        .setDemand(encodeShare(report.demand()))
        .setHeld(encodeShare(report.held()))
        .build();
  }

  static ShareReport decodeReport(LimitReport report) {
    return new ShareReport(
        new Limit(report.getLimitId(), decodeShare(report.getTotal())),
        report.getSequence(),
        decodeShare(report.getDemand()),
        decodeShare(report.getHeld()));
  }

  static LimitGrant encodeGrant(ShareGrant grant) {
    return LimitGrant.newBuilder()
        .setLimitId(grant.limitId())
        .setSequence(grant.sequence())
        .setShare(encodeShare(grant.share()))
        .build();
  }

  static ShareGrant decodeGrant(LimitGrant grant) {
    return new ShareGrant(grant.getLimitId(), grant.getSequence(), decodeShare(grant.getShare()));
  }

  static ServiceLoad encodeLoad(String service, DataCentreLoad load) {
    return ServiceLoad.newBuilder()
        .setService(service)
        .setOutstanding((float) load.outstanding())
        .setSlots((float) load.slots())
        .setMinWeightVersion(load.minWeightVersion())
        .build();
  }

  static DataCentreLoad decodeLoad(String dataCentre, ServiceLoad load, long nowMillis) {
    return new DataCentreLoad(
        dataCentre, load.getOutstanding(), load.getSlots(), load.getMinWeightVersion(), nowMillis);
  }

  static ImmutableList<ShareReport> decodeReports(AdmissionMessage message) {
    return message.getReportsList().stream()
        .map(AdmissionCodec::decodeReport)
        .collect(ImmutableList.toImmutableList());
  }

  private static LimitAmount encodeShare(Share share) {
    return LimitAmount.newBuilder()
        .setRequestsPerSecond((float) share.requestsPerSecond())
        .setConcurrent((float) share.concurrent())
        .build();
  }

  private static Share decodeShare(LimitAmount amount) {
    return new Share(amount.getRequestsPerSecond(), amount.getConcurrent());
  }
}
