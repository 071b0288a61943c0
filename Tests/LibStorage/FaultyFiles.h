#pragma once

#include <LibStorage/FileOperations.h>

#include <memory>

namespace jaybridge {

/// Faults that are injected from now on, and counts of syncs. Shared by all
/// copies of one FaultyFiles.
struct FileFaults {
  bool IsSyncFailing_ = false;
  bool IsFolderSyncFailing_ = false;
  bool IsRenameFailing_ = false;
  /// Free space of the simulated disk.
  std::uint64_t FreeBytes_ = ~std::uint64_t(0);
  int FileSyncCount_ = 0;
  int FolderSyncCount_ = 0;
};

/// POSIX file operations with injected faults.
class FaultyFiles : public PosixFiles {
public:
  explicit FaultyFiles(std::shared_ptr<FileFaults> Faults)
      : Faults_(std::move(Faults)) {}

  Status append(const FileDescriptor &Descriptor, std::string_view Data,
                const std::string &Path) {
    std::string_view Fitting = Data.substr(0, Faults_->FreeBytes_);
    Faults_->FreeBytes_ -= Fitting.size();
    JAYBRIDGE_TRY_STATUS(PosixFiles::append(Descriptor, Fitting, Path));
    if (Fitting.size() == Data.size())
      return success();
    return Error{ErrorCode::Full, "cannot write " + Path + ": disk full", {}};
  }

  Status sync(const FileDescriptor &Descriptor, const std::string &Path) {
    ++Faults_->FileSyncCount_;
    if (Faults_->IsSyncFailing_)
      return Error{ErrorCode::Internal, "cannot sync " + Path, {}};
    return PosixFiles::sync(Descriptor, Path);
  }

  Status syncFolder(const std::string &Path) {
    ++Faults_->FolderSyncCount_;
    if (Faults_->IsFolderSyncFailing_)
      return Error{ErrorCode::Internal, "cannot sync " + Path, {}};
    return PosixFiles::syncFolder(Path);
  }

  Status rename(const std::string &From, const std::string &To) {
    if (Faults_->IsRenameFailing_)
      return Error{ErrorCode::Internal, "cannot rename " + From, {}};
    return PosixFiles::rename(From, To);
  }

private:
  std::shared_ptr<FileFaults> Faults_;
};

} // namespace jaybridge
