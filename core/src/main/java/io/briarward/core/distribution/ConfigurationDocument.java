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
 * One version of the configuration with its JSON text and checksum.
 *
 * <p>Immutable and thread-safe.
 */
public final class ConfigurationDocument {
  /** The version before any change was accepted, which holds nothing. */
  public static final long EMPTY_VERSION = 0;

  private final long version;
  private final Configuration configuration;
  private final ObjectNode tree;
  private final String checksum;

  private ConfigurationDocument(long version, Configuration configuration, ObjectNode tree) {
    this.version = version;
    this.configuration = configuration;
    this.tree = tree;
    this.checksum = checksumOf(tree);
  }

  /** Returns version 0, which holds nothing. */
  public static ConfigurationDocument empty() {
    return of(EMPTY_VERSION, Configuration.empty());
  }

  /** Returns the document of a configuration that was accepted under {@code version}. */
  public static ConfigurationDocument of(long version, Configuration configuration) {
    checkArgument(version >= EMPTY_VERSION, "version is %s, expected >= 0", version);
    return new ConfigurationDocument(version, configuration, treeOf(configuration));
  }

  /**
   * Parses a document.
   *
   * @return empty when it is not valid or does not have the checksum
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

  /** Returns the JSON text without white space. */
  public String json() {
    return tree.toString();
  }

  /** Returns the delta to the next version, which holds {@code next}. */
  public ConfigurationDelta deltaTo(Configuration next) {
    checkNotNull(next, "next");
    ObjectNode nextTree = treeOf(next);
    ImmutableList.Builder<Splice> splices = ImmutableList.builder();
    Iterator<String> fields = nextTree.fieldNames();
    while (fields.hasNext()) {
      String field = fields.next();
      splice(field, tree.withArray(field), nextTree.withArray(field)).ifPresent(splices::add);
    }
    return new ConfigurationDelta(version + 1, splices.build(), checksumOf(nextTree));
  }

  /**
   * Returns the next version.
   *
   * @return empty when the delta does not follow this version or its checksum does not match
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

  private static Optional<Splice> splice(String field, ArrayNode before, ArrayNode after) {
    int shorter = Math.min(before.size(), after.size());
    int prefix = 0;
    while (prefix < shorter && before.get(prefix).equals(after.get(prefix))) {
      prefix++;
    }
    int suffix = 0;
    while (suffix < shorter - prefix
        && before.get(before.size() - 1 - suffix).equals(after.get(after.size() - 1 - suffix))) {
      suffix++;
    }
    int removed = before.size() - prefix - suffix;
    ImmutableList<JsonNode> inserted =
        ImmutableList.copyOf(after).subList(prefix, after.size() - suffix);
    return removed == 0 && inserted.isEmpty()
        ? Optional.empty()
        : Optional.of(new Splice(field, prefix, removed, inserted));
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

  private static ObjectNode treeOf(Configuration configuration) {
    return (ObjectNode) Json.read(ConfigurationCodec.print(configuration));
  }

  private static String checksumOf(ObjectNode tree) {
    return Hashing.sha256().hashString(tree.toString(), StandardCharsets.UTF_8).toString();
  }
}
