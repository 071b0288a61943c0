#pragma once

#include <LibReplication/ReplicationMessages.h>
#include <LibRuntime/BoundedRing.h>
#include <LibStorage/ReplicationStore.h>
#include <LibWire/ReplicationCodec.h>

#include <functional>
#include <memory>
#include <thread>

namespace jaybridge {

/// Writes and syncs the replicated log in the data folder, on a thread of its
/// own, and reports each outcome.
class StorageThread {
public:
  /// Receives `Persisted` or `PersistFailed` on this thread.
  using Sink = std::function<void(ReplicationEvent)>;

  /// Opens or makes the folder. Errors: `Damaged`, `Conflict`, `Full`.
  static Result<std::unique_ptr<StorageThread>> open(const std::string &Path,
                                                     FolderGeneration Fresh);
  ~StorageThread();
  StorageThread(const StorageThread &) = delete;
  StorageThread &operator=(const StorageThread &) = delete;

  /// What the folder held when it was opened.
  RecoveredLog takeRecovered() { return Store_.takeRecovered(); }

  void start(Sink Deliver);
  /// False when the ring is full.
  [[nodiscard]] bool write(PersistLog Write) { return Ring_.tryPush(Write); }
  void stop();

private:
  static constexpr RingCapacity WriteRing{4096};
  /// Writes that share one sync.
  static constexpr std::size_t GreatestBatch = 64;

  using Store = ReplicationStore<PosixFiles, PersistLogWireCodec>;

  explicit StorageThread(Store Opened)
      : Store_(std::move(Opened)), Ring_(WriteRing) {}

  void run();
  std::vector<PersistLog> takeBatch(PersistLog First);

  Store Store_;
  BoundedRing<PersistLog> Ring_;
  Sink Deliver_;
  std::thread Thread_;
};

} // namespace jaybridge
