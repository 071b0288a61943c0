#pragma once

#include <LibReplication/ReplicationMessages.h>
#include <LibRuntime/BoundedRing.h>
#include <LibStorage/ReplicationStore.h>
#include <LibWire/ReplicationCodec.h>

#include <functional>
#include <memory>
#include <thread>

namespace jaybridge {

/// Writes the replicated log to the data folder and syncs it, on a thread of
/// its own, and reports the outcome of each batch of writes.
class StorageThread {
public:
  /// Receives `Persisted` or `PersistFailed` on the storage thread.
  using Sink = std::function<void(ReplicationEvent)>;

  /// Opens the folder, or creates it with the given generation. Errors:
  /// `Damaged`, `Conflict`, `Full`.
  static Result<std::unique_ptr<StorageThread>>
  open(const std::string &Path, FolderGeneration NewGeneration);
  ~StorageThread();
  StorageThread(const StorageThread &) = delete;
  StorageThread &operator=(const StorageThread &) = delete;

  /// The log that was read from the folder when it was opened.
  RecoveredLog takeRecovered() { return Store_.takeRecovered(); }

  void start(Sink OnOutcome);
  /// False when the ring is full.
  [[nodiscard]] bool write(PersistLog Write) { return Ring_.tryPush(Write); }
  void stop();

private:
  static constexpr RingCapacity WriteRingCapacity{4096};
  /// Largest number of writes that share one sync.
  static constexpr std::size_t MaxBatchSize = 64;

  using Store = ReplicationStore<PosixFiles, PersistLogWireCodec>;

  explicit StorageThread(Store OpenedStore)
      : Store_(std::move(OpenedStore)), Ring_(WriteRingCapacity) {}

  void run();
  std::vector<PersistLog> takeBatch(PersistLog First);

  Store Store_;
  BoundedRing<PersistLog> Ring_;
  Sink OnOutcome_;
  std::thread Thread_;
};

} // namespace jaybridge
