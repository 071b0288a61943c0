#pragma once

#include <LibReplication/LogRecovery.h>
#include <LibStorage/DataFolder.h>

#include <span>

namespace jaybridge {

/// Encodes and decodes the writes of a replicated log as records.
template <typename Codec>
concept PersistLogCodec = requires(const PersistLog &Write,
                                   std::string_view Record) {
  { Codec::encode(Write) } -> std::same_as<std::string>;
  { Codec::decode(Record) } -> std::same_as<Result<PersistLog>>;
};

/// Stores the persistent state of one replicated log in a data folder.
template <FileOperations Files, PersistLogCodec Codec> class ReplicationStore {
public:
  /// Errors as DataFolder::open(), and `Damaged` for a record that cannot be
  /// decoded.
  static Result<ReplicationStore> open(Files Operations,
                                       const std::string &Path,
                                       FolderGeneration NewGeneration) {
    JAYBRIDGE_TRY(
        DataFolder<Files> Folder,
        DataFolder<Files>::open(std::move(Operations), Path, NewGeneration));
    LogRecovery Recovery(Folder.generation());
    for (const std::string &Record : Folder.takeRecords()) {
      JAYBRIDGE_TRY(PersistLog Write, Codec::decode(Record));
      Recovery.add(std::move(Write));
    }
    return ReplicationStore(std::move(Folder), Recovery.take());
  }

  /// Moves out the state read by open(), for ReplicatedLog::create().
  RecoveredLog takeRecovered() { return std::move(Recovered_); }

  /// Persists Writes in order with as few syncs as possible. Returns
  /// `Persisted` when all of them are durable, or `PersistFailed`, after which
  /// the member must stop.
  ReplicationEvent write(std::span<const PersistLog> Writes) {
    JAYBRIDGE_VERIFY(!Writes.empty());
    std::vector<std::string> Records;
    for (const PersistLog &Write : Writes) {
      // A snapshot supersedes all writes before it.
      if (Write.Snapshot_)
        Records.clear();
      Records.push_back(Codec::encode(Write));
      if (!Write.Snapshot_)
        continue;
      if (auto Replaced = Folder_.replace(Records.back()); !Replaced)
        return PersistFailed{Replaced.takeError()};
      Records.clear();
    }
    if (!Records.empty())
      if (auto Appended = Folder_.append(Records); !Appended)
        return PersistFailed{Appended.takeError()};
    return Persisted{Writes.back().Sequence_};
  }

private:
  ReplicationStore(DataFolder<Files> Folder, RecoveredLog Recovered)
      : Folder_(std::move(Folder)), Recovered_(std::move(Recovered)) {}

  DataFolder<Files> Folder_;
  RecoveredLog Recovered_;
};

} // namespace jaybridge
