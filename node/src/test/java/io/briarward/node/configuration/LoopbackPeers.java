package io.briarward.node.configuration;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.node.peer.PeerHandler;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Single;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Connects peer networks in memory: each message is passed directly to the receiver's handler. */
final class LoopbackPeers {
  private final Map<String, Endpoint> endpoints = new HashMap<>();

  PeerNetwork network(String vmId) {
    Endpoint endpoint = new Endpoint(vmId);
    endpoints.put(vmId, endpoint);
    return endpoint;
  }

  private final class Endpoint implements PeerNetwork {
    private final String vmId;
    private final Map<PeerMessage.BodyCase, PeerHandler> handlers =
        new EnumMap<>(PeerMessage.BodyCase.class);

    private Endpoint(String vmId) {
      this.vmId = vmId;
    }

    @Override
    public void send(String to, PeerMessage message) {
      var unused = request(to, message, 1).subscribe(answer -> {}, error -> {});
    }

    @Override
    public Single<PeerMessage> request(String to, PeerMessage message, long timeoutMillis) {
      Endpoint target = endpoints.get(to);
      if (target == null) {
        return Single.error(Failure.notRun(ErrorKind.NOT_READY, to).toException());
      }
      PeerMessage stamped = message.toBuilder().setSenderVmId(vmId).build();
      return target
          .handlers
          .get(message.getBodyCase())
          .onMessage(stamped)
          .map(answer -> answer.toBuilder().setSenderVmId(to).build())
          .toSingle();
    }

    @Override
    public void setHandler(PeerMessage.BodyCase body, PeerHandler handler) {
      handlers.put(body, handler);
    }

    @Override
    public void setAddresses(ImmutableMap<String, InetSocketAddress> byVmId) {}

    @Override
    public void close() {
      endpoints.remove(vmId);
    }
  }
}
