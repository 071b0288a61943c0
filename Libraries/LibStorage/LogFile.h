#pragma once

#include <LibStorage/FileOperations.h>
#include <LibStorage/RecordFormat.h>

#include <vector>

namespace jaybridge {

/// A file of records that is only appended to. After a failed write or sync the
/// content is uncertain, so all later writes are refused until it is reopened.
template <FileOperations Files> class LogFile {
public:
  /// Cuts a torn tail and syncs the cut. Errors: `NotFound`, `Damaged`.
  static Result<LogFile> open(Files &Operations, std::string Path) {
    JAYBRIDGE_TRY(FileDescriptor Descriptor, Operations.openFile(Path));
    JAYBRIDGE_TRY(std::string Content, Operations.readAll(Descriptor, Path));
    JAYBRIDGE_TRY(ScannedRecords Scanned, scanRecords(Content, Path));
    if (Scanned.CompleteSize_.value() < Content.size()) {
      JAYBRIDGE_TRY_STATUS(
          Operations.truncate(Descriptor, Scanned.CompleteSize_, Path));
      JAYBRIDGE_TRY_STATUS(Operations.sync(Descriptor, Path));
    }
    LogFile Opened(std::move(Descriptor), std::move(Path));
    Opened.Size_ = Scanned.CompleteSize_;
    Opened.Records_ = std::move(Scanned.Payloads_);
    return Opened;
  }

  /// Writes a file beside Path, syncs it and puts it in the place of Path, so
  /// that Path is always whole. The folder is synced last.
  static Result<LogFile> replace(Files &Operations, const std::string &Folder,
                                 std::string Path,
                                 const std::vector<std::string> &Records) {
    std::string Fresh = Path + ".new";
    JAYBRIDGE_TRY(FileDescriptor Descriptor, Operations.createFile(Fresh));
    LogFile Created(std::move(Descriptor), std::move(Path));
    JAYBRIDGE_TRY_STATUS(Created.append(Operations, Records));
    JAYBRIDGE_TRY_STATUS(Operations.rename(Fresh, Created.Path_));
    JAYBRIDGE_TRY_STATUS(Operations.syncFolder(Folder));
    return Created;
  }

  /// Records are durable when this succeeds.
  Status append(Files &Operations, const std::vector<std::string> &Records) {
    if (IsBroken_)
      return Error{ErrorCode::Unavailable,
                   Path_ + " is closed after a failed write",
                   {}};
    std::string Data;
    for (const std::string &Payload : Records) {
      if (Payload.size() > MaxRecordSize.value())
        return Error{ErrorCode::Full, "record is too long for " + Path_, {}};
      Data += encodeRecord(Payload, Size_ + ByteCount(Data.size()));
    }
    IsBroken_ = true;
    JAYBRIDGE_TRY_STATUS(Operations.append(Descriptor_, Data, Path_));
    JAYBRIDGE_TRY_STATUS(Operations.sync(Descriptor_, Path_));
    IsBroken_ = false;
    Size_ += ByteCount(Data.size());
    return success();
  }

  /// Refuses all further writes.
  void close() { IsBroken_ = true; }

  /// The records that were found at open().
  std::vector<std::string> takeRecords() { return std::move(Records_); }
  ByteCount size() const { return Size_; }

private:
  LogFile(FileDescriptor Descriptor, std::string Path)
      : Descriptor_(std::move(Descriptor)), Path_(std::move(Path)) {}

  FileDescriptor Descriptor_;
  std::string Path_;
  ByteCount Size_;
  std::vector<std::string> Records_;
  bool IsBroken_ = false;
};

} // namespace jaybridge
