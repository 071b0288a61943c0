#include <StorageThread.h>

#include <LibReplication/LogRecovery.h>
#include <LibWire/ReplicationCodec.h>

namespace jaybridge {

namespace {

Result<RecoveredLog> recover(DataFolder<PosixFiles> &Folder) {
  LogRecovery Recovery(Folder.generation());
  for (const std::string &Record : Folder.takeRecords()) {
    JAYBRIDGE_TRY(PersistLog Write, decodePersistLog(Record));
    Recovery.add(std::move(Write));
  }
  return Recovery.take();
}

} // namespace

Result<std::unique_ptr<StorageThread>>
StorageThread::open(const std::string &Path, FolderGeneration Fresh) {
  JAYBRIDGE_TRY(DataFolder<PosixFiles> Folder,
                DataFolder<PosixFiles>::open(PosixFiles{}, Path, Fresh));
  JAYBRIDGE_TRY(RecoveredLog Recovered, recover(Folder));
  return std::unique_ptr<StorageThread>(
      new StorageThread(std::move(Folder), std::move(Recovered)));
}

StorageThread::~StorageThread() { stop(); }

void StorageThread::start(Sink Deliver) {
  Deliver_ = std::move(Deliver);
  Thread_ = std::thread([this] { run(); });
}

void StorageThread::stop() {
  Ring_.close();
  if (Thread_.joinable())
    Thread_.join();
}

void StorageThread::run() {
  while (std::optional<PersistLog> First = Ring_.pop(std::nullopt)) {
    std::vector<PersistLog> Batch = takeBatch(std::move(*First));
    if (Status Written = write(Batch); !Written) {
      Deliver_(PersistFailed{Written.takeError()});
      continue;
    }
    Deliver_(Persisted{Batch.back().Sequence_});
  }
}

std::vector<PersistLog> StorageThread::takeBatch(PersistLog First) {
  std::vector<PersistLog> Batch;
  Batch.push_back(std::move(First));
  // A snapshot replaces the file and is written alone.
  while (Batch.size() < GreatestBatch && !Batch.back().Snapshot_) {
    auto Next = Ring_.pop(std::chrono::steady_clock::time_point::min());
    if (!Next)
      break;
    Batch.push_back(std::move(*Next));
  }
  return Batch;
}

Status StorageThread::write(const std::vector<PersistLog> &Batch) {
  std::vector<std::string> Records;
  Records.reserve(Batch.size());
  for (const PersistLog &Write : Batch)
    Records.push_back(encodePersistLog(Write));
  if (!Batch.back().Snapshot_)
    return Folder_.append(Records);
  std::string Snapshot = std::move(Records.back());
  Records.pop_back();
  if (!Records.empty())
    JAYBRIDGE_TRY_STATUS(Folder_.append(Records));
  return Folder_.replace(Snapshot);
}

} // namespace jaybridge
