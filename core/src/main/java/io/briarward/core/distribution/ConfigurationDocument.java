package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.InvalidConfigurationException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * A version of the configuration with its JSON text and checksum.
 *
 * <p>Immutable and thread-safe.
 */
public final class ConfigurationDocument {
  /** The version of the empty configuration, before any change is accepted. */
  public static final long EMPTY_VERSION = 0;

  private final long version;
  private final Configuration configuration;
  private final ObjectNode tree;
  private final String checksum;

  private ConfigurationDocument(long version, Configuration configuration, ObjectNode tree) {
    this.version = version;
    this.configuration = configuration;
    this.tree = tree;
    this.checksum = computeChecksum(tree);
  }

  /** Returns the empty configuration, version 0. */
  public static ConfigurationDocument empty() {
    return of(EMPTY_VERSION, Configuration.empty());
  }

  /**
   * Returns the document of a configuration that was accepted as {@code version}.
   *
   * @throws IllegalArgumentException if {@code version} is negative
   */
  public static ConfigurationDocument of(long version, Configuration configuration) {
    checkArgument(version >= EMPTY_VERSION, "version is %s, expected >= 0", version);
    return new ConfigurationDocument(version, configuration, toTree(configuration));
  }

  /**
   * Parses a document.
   *
   * @return empty if the document is invalid or its checksum differs from {@code checksum}
   */
  public static Optional<ConfigurationDocument> parse(long version, String json, String checksum) {
    try {
      return Optional.of(of(version, ConfigurationCodec.parse(json)))
          .filter(document -> document.checksum.equals(checksum));
    } catch (InvalidConfigurationException e) {
      return Optional.empty();
    }
  }

  /** Returns the version, at least 0. */
  public long version() {
    return version;
  }

  /** Returns the configuration. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns the SHA-256 of the JSON text, in hexadecimal digits. */
  public String checksum() {
    return checksum;
  }

  /** Returns the JSON text without whitespace. */
  public String json() {
    return tree.toString();
  }

  /** Returns the delta from this version to the next one, whose configuration is {@code next}. */
  public ConfigurationDelta deltaTo(Configuration next) {
    checkNotNull(next, "next");
    ObjectNode nextTree = toTree(next);
    ImmutableList.Builder<Splice> splices = ImmutableList.builder();
    Iterator<String> fields = nextTree.fieldNames();
    while (fields.hasNext()) {
      String field = fields.next();
      diff(field, tree.withArray(field), nextTree.withArray(field)).ifPresent(splices::add);
    }
    return new ConfigurationDelta(version + 1, splices.build(), computeChecksum(nextTree));
  }

  /**
   * Returns the version that results from applying a delta to this one.
   *
   * @return empty if the delta does not follow this version, its splices do not fit, or the result
   *     is invalid or does not match its checksum
   */
  public Optional<ConfigurationDocument> apply(ConfigurationDelta delta) {
    checkNotNull(delta, "delta");
    if (delta.version() != version + 1) {
      return Optional.empty();
    }
    ObjectNode result = tree.deepCopy();
    for (Splice splice : delta.splices()) {
      if (!applySplice(result, splice)) {
        return Optional.empty();
      }
    }
    return parse(delta.version(), result.toString(), delta.checksum());
  }

  /** Returns the splice between the common prefix and the common suffix of two lists. */
  private static Optional<Splice> diff(String field, ArrayNode before, ArrayNode after) {
    int minSize = Math.min(before.size(), after.size());
    int prefixLength = 0;
    while (prefixLength < minSize && before.get(prefixLength).equals(after.get(prefixLength))) {
      prefixLength++;
    }
    int suffixLength = 0;
    while (suffixLength < minSize - prefixLength
        && before
            .get(before.size() - 1 - suffixLength)
            .equals(after.get(after.size() - 1 - suffixLength))) {
      suffixLength++;
    }
    int removed = before.size() - prefixLength - suffixLength;
    ImmutableList<JsonNode> inserted =
        ImmutableList.copyOf(after).subList(prefixLength, after.size() - suffixLength);
    return removed == 0 && inserted.isEmpty()
        ? Optional.empty()
        : Optional.of(new Splice(field, prefixLength, removed, inserted));
  }

  private static boolean applySplice(ObjectNode tree, Splice splice) {
    if (!tree.path(splice.field()).isArray()) {
      return false;
    }
    List<JsonNode> entries = new ArrayList<>();
    tree.withArray(splice.field()).forEach(entries::add);
    int end = splice.start() + splice.removed();
    if (end > entries.size()) {
      return false;
    }
    entries.subList(splice.start(), end).clear();
    entries.addAll(splice.start(), splice.inserted());
    tree.putArray(splice.field()).addAll(entries);
    return true;
  }

  private static ObjectNode toTree(Configuration configuration) {
    return (ObjectNode) Json.read(ConfigurationCodec.print(configuration));
  }

  private static String computeChecksum(ObjectNode tree) {
    return Hashing.sha256().hashString(tree.toString(), StandardCharsets.UTF_8).toString();
  }
}
