#include <StorageThread.h>

namespace jaybridge {

Result<std::unique_ptr<StorageThread>>
StorageThread::open(const std::string &Path, FolderGeneration Fresh) {
  JAYBRIDGE_TRY(Store Opened, Store::open(PosixFiles{}, Path, Fresh));
  return std::unique_ptr<StorageThread>(new StorageThread(std::move(Opened)));
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
  while (std::optional<PersistLog> First = Ring_.pop(std::nullopt))
    Deliver_(Store_.write(takeBatch(std::move(*First))));
}

std::vector<PersistLog> StorageThread::takeBatch(PersistLog First) {
  std::vector<PersistLog> Batch;
  Batch.push_back(std::move(First));
  const auto Past = std::chrono::steady_clock::time_point();
  while (Batch.size() < GreatestBatch) {
    auto Next = Ring_.pop(Past);
    if (!Next)
      break;
    Batch.push_back(std::move(*Next));
  }
  return Batch;
}

} // namespace jaybridge
