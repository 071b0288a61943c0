#include <StorageThread.h>

namespace jaybridge {

Result<std::unique_ptr<StorageThread>>
StorageThread::open(const std::string &Path, FolderGeneration NewGeneration) {
  JAYBRIDGE_TRY(Store OpenedStore,
                Store::open(PosixFiles{}, Path, NewGeneration));
  return std::unique_ptr<StorageThread>(
      new StorageThread(std::move(OpenedStore)));
}

StorageThread::~StorageThread() { stop(); }

void StorageThread::start(Sink OnOutcome) {
  OnOutcome_ = std::move(OnOutcome);
  Thread_ = std::thread([this] { run(); });
}

void StorageThread::stop() {
  Ring_.close();
  if (Thread_.joinable())
    Thread_.join();
}

void StorageThread::run() {
  while (std::optional<PersistLog> First = Ring_.pop(std::nullopt))
    OnOutcome_(Store_.write(takeBatch(std::move(*First))));
}

// Takes the writes that are already queued, without waiting for more.
std::vector<PersistLog> StorageThread::takeBatch(PersistLog First) {
  std::vector<PersistLog> Batch;
  Batch.push_back(std::move(First));
  const auto ExpiredDeadline = std::chrono::steady_clock::time_point();
  while (Batch.size() < MaxBatchSize) {
    auto Next = Ring_.pop(ExpiredDeadline);
    if (!Next)
      break;
    Batch.push_back(std::move(*Next));
  }
  return Batch;
}

} // namespace jaybridge
