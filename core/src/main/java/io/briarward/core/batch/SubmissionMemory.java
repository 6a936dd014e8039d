package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.memory.ByteBudget;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Reserves the memory that the parsed form of one submission takes, while it is parsed and for as
 * long as its batch is kept, including what a {@link BatchRun} keeps of each item.
 *
 * <p>The size of a submission says little about it: a submission of many small items takes several
 * times its size. Not thread-safe.
 */
public final class SubmissionMemory implements AutoCloseable {
  /** An item, its places in the list of items and in the map of those without a result. */
  private static final long ITEM_BYTES = 128;

  /** A group's places in the maps that a run keeps and those by which it is ranked. */
  private static final long GROUP_BYTES = 320;

  /** A text without its characters. */
  private static final long TEXT_BYTES = 48;

  /** The place of a text in the map of texts that repeat. */
  private static final long SHARED_TEXT_BYTES = 48;

  private static final long MAP_BYTES = 80;
  private static final long MAP_ENTRY_BYTES = 40;
  private static final long REWARD_CALL_BYTES = 48;
  private static final int MAX_LATIN_1 = 255;

  /** The budget is asked in steps, so that most items do not ask it. */
  private static final long STEP_BYTES = 64 << 10;

  /** By then some batches may have ended. */
  private static final long RETRY_AFTER_MILLIS = 500;

  private final ByteBudget budget;
  private final ByteBudget.Share share;
  private final Map<String, String> sharedTexts = new HashMap<>();
  private final Set<String> groups = new HashSet<>();
  private long keptBytes;
  private long passingBytes;

  private SubmissionMemory(ByteBudget budget) {
    this.budget = checkNotNull(budget, "budget");
    this.share = budget.open();
  }

  /** Returns the memory of a submission of which nothing is parsed. */
  public static SubmissionMemory open(ByteBudget budget) {
    return new SubmissionMemory(budget);
  }

  /** Returns the memory of a submission of any size. */
  public static SubmissionMemory unbounded() {
    return open(ByteBudget.of(Long.MAX_VALUE));
  }

  /** Returns the memory that is reserved, in bytes. */
  public long bytes() {
    return share.bytes();
  }

  /**
   * Reserves memory that is needed only until {@link #endItem}.
   *
   * @throws io.briarward.core.errors.FailureException if it does not fit
   */
  public void addPassing(long bytes) {
    passingBytes += bytes;
    reserve();
  }

  /** Returns a text that is equal to the given one and is kept once for the whole submission. */
  public String share(String text) {
    String known = sharedTexts.putIfAbsent(text, text);
    if (known == null) {
      keptBytes += textBytes(text) + SHARED_TEXT_BYTES;
    }
    return known == null ? text : known;
  }

  /**
   * Reserves the memory of an item whose path, group and headers are shared, and releases what was
   * needed to parse it.
   *
   * @throws io.briarward.core.errors.FailureException if it does not fit
   */
  @CanIgnoreReturnValue
  public BatchItem endItem(BatchItem item) {
    passingBytes = 0;
    keptBytes += ITEM_BYTES + textBytes(item.id()) + textBytes(item.bodyBase64());
    if (!item.headers().isEmpty()) {
      keptBytes += MAP_BYTES + MAP_ENTRY_BYTES * item.headers().size();
    }
    if (groups.add(item.group())) {
      keptBytes += GROUP_BYTES;
    }
    item.rewardCall()
        .ifPresent(
            call ->
                keptBytes +=
                    REWARD_CALL_BYTES
                        + textBytes(call.id())
                        + textBytes(call.host())
                        + textBytes(call.path())
                        + textBytes(call.bodyBase64()));
    reserve();
    return item;
  }

  /** Releases the memory of all items, which are parsed anew. */
  public void restart() {
    sharedTexts.clear();
    groups.clear();
    keptBytes = 0;
    passingBytes = 0;
    reserve();
  }

  /** Releases what only parsing needed; no item follows. */
  public void endParsing() {
    sharedTexts.clear();
    groups.clear();
    passingBytes = 0;
    resize(keptBytes);
  }

  private void reserve() {
    long neededBytes = keptBytes + passingBytes;
    boolean fits =
        neededBytes <= share.bytes()
            || share.resize(neededBytes + STEP_BYTES)
            || share.resize(neededBytes);
    if (!fits) {
      throw rejection(neededBytes).toException();
    }
  }

  private void resize(long bytes) {
    if (!share.resize(bytes)) {
      throw rejection(bytes).toException();
    }
  }

  private Failure rejection(long neededBytes) {
    return neededBytes > budget.maxBytes()
        ? Failure.notRun(
            ErrorKind.BODY_TOO_LARGE,
            "the batch takes more than " + budget.maxBytes() + " bytes once it is parsed")
        : Failure.notRun(
            ErrorKind.BODIES_TOO_LARGE,
            "the batch does not fit beside other batches and requests",
            RETRY_AFTER_MILLIS);
  }

  private static long textBytes(String text) {
    if (text.isEmpty()) {
      return 0;
    }
    boolean latin1 = text.chars().allMatch(character -> character <= MAX_LATIN_1);
    return TEXT_BYTES + (latin1 ? text.length() : 2L * text.length());
  }

  /** Gives all memory back; the batch is no longer kept. */
  @Override
  public void close() {
    share.close();
  }
}
