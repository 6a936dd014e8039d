package io.briarward.core.memory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which connections of clients a server keeps, and which it closes when they are too many
 * or when what is kept of their requests is too large.
 *
 * <p>Answers clients that open connections or begin requests and do not complete them: the
 * connection that has waited longest with an unfinished request is closed first, then, if there are
 * too many connections, the one that has been without a request longest. A connection whose request
 * is complete, or whose response has begun, is never closed for another one. If none can be closed,
 * the connection that asks is refused.
 *
 * <p>Nothing here knows sockets: {@link Evictable#evict} closes a connection. Confined to one
 * thread.
 */
public final class ClientBudget {
  private final int maxConnections;
  private final long maxBytes;

  /** In the order in which their requests began. */
  private final Set<Client> unfinished = new LinkedHashSet<>();

  /** In the order in which their last requests ended. */
  private final Set<Client> idle = new LinkedHashSet<>();

  private int connections;
  private long heldBytes;

  private ClientBudget(int maxConnections, long maxBytes) {
    this.maxConnections = maxConnections;
    this.maxBytes = maxBytes;
  }

  /** The action that closes a connection. */
  @FunctionalInterface
  public interface Evictable {
    /** Closes the connection, whose {@link Client} is closed already. */
    void evict();
  }

  /**
   * Returns a budget without connections.
   *
   * @param maxConnections the maximum number of connections
   * @param maxBytes the memory of all requests together, in bytes
   */
  public static ClientBudget of(int maxConnections, long maxBytes) {
    checkArgument(maxConnections > 0, "maxConnections is %s, expected > 0", maxConnections);
    checkArgument(maxBytes > 0, "maxBytes is %s, expected > 0", maxBytes);
    return new ClientBudget(maxConnections, maxBytes);
  }

  /** Returns the number of connections. */
  public int connections() {
    return connections;
  }

  /** Returns the number of connections with an unfinished request. */
  public int unfinishedRequests() {
    return unfinished.size();
  }

  /** Returns the memory of all requests together, in bytes. */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Admits a new connection without a request.
   *
   * @param evictable closes the connection when the budget decides so
   * @return the connection, or empty if it must be refused
   */
  public Optional<Client> open(Evictable evictable) {
    checkNotNull(evictable, "evictable");
    if (connections >= maxConnections && !evictOneOf(unfinished) && !evictOneOf(idle)) {
      return Optional.empty();
    }
    Client client = new Client(evictable);
    connections++;
    idle.add(client);
    return Optional.of(client);
  }

  private static boolean evictOneOf(Set<Client> clients) {
    Iterator<Client> first = clients.iterator();
    if (!first.hasNext()) {
      return false;
    }
    Client client = first.next();
    client.close();
    client.evictable.evict();
    return true;
  }

  /** One connection. */
  public final class Client implements AutoCloseable {
    private final Evictable evictable;
    private long bytes;
    private boolean closed;

    private Client(Evictable evictable) {
      this.evictable = evictable;
    }

    /**
     * Sets the memory that is kept of the request of this connection. Closes connections that have
     * waited longer with unfinished requests if it does not fit beside them.
     *
     * @return whether it fits; if not, the connection must be closed
     */
    @CanIgnoreReturnValue
    public boolean resize(long newBytes) {
      checkArgument(newBytes >= 0, "newBytes is %s, expected >= 0", newBytes);
      while (!closed && newBytes - bytes > maxBytes - heldBytes) {
        // A request that is too large by itself must not cost others their connections.
        if (newBytes > maxBytes || !evictOneBefore()) {
          return false;
        }
      }
      if (closed) {
        return false;
      }
      heldBytes += newBytes - bytes;
      bytes = newBytes;
      return true;
    }

    /** Closes the connection that has waited longest, unless it is this one. */
    private boolean evictOneBefore() {
      Iterator<Client> first = unfinished.iterator();
      return first.hasNext() && first.next() != this && evictOneOf(unfinished);
    }

    /** Called when the first bytes of a request arrive. */
    public void onRequestBegun() {
      if (!closed) {
        idle.remove(this);
        unfinished.add(this);
      }
    }

    /** Called when a request is complete or its response has begun. */
    public void onRequestKept() {
      unfinished.remove(this);
    }

    /** Called when the request and its response have ended; nothing of them is kept. */
    public void onRequestEnded() {
      if (!closed) {
        unfinished.remove(this);
        heldBytes -= bytes;
        bytes = 0;
        idle.add(this);
      }
    }

    /** Called when the connection has ended; does nothing if it has ended before. */
    @Override
    public void close() {
      if (!closed) {
        closed = true;
        unfinished.remove(this);
        idle.remove(this);
        heldBytes -= bytes;
        bytes = 0;
        connections--;
      }
    }
  }
}
