#pragma once

#include <LibStorage/FileOperations.h>
#include <LibStorage/RecordFormat.h>

#include <vector>

namespace jaybridge {

/// Append-only file of checksummed records. After a failed write or sync the
/// content on disk is unknown, so that all later writes are refused until the
/// file is opened again.
template <FileOperations Files> class LogFile {
public:
  /// Reads all records. An incomplete last record is truncated and the file
  /// synced. Errors: `NotFound`, `Damaged`.
  static Result<LogFile> open(Files &Operations, std::string Path) {
    JAYBRIDGE_TRY(FileDescriptor Descriptor, Operations.openFile(Path));
    JAYBRIDGE_TRY(std::string Content, Operations.readAll(Descriptor, Path));
    JAYBRIDGE_TRY(ScannedRecords Scan, scanRecords(Content, Path));
    if (Scan.CompleteSize_.value() < Content.size()) {
      JAYBRIDGE_TRY_STATUS(
          Operations.truncate(Descriptor, Scan.CompleteSize_, Path));
      JAYBRIDGE_TRY_STATUS(Operations.sync(Descriptor, Path));
    }
    LogFile Log(std::move(Descriptor), std::move(Path));
    Log.Size_ = Scan.CompleteSize_;
    Log.Records_ = std::move(Scan.Payloads_);
    return Log;
  }

  /// Atomically replaces the file at Path: writes and syncs a temporary file,
  /// renames it to Path and syncs Folder.
  static Result<LogFile> replace(Files &Operations, const std::string &Folder,
                                 std::string Path,
                                 const std::vector<std::string> &Records) {
    std::string TemporaryPath = Path + ".new";
    JAYBRIDGE_TRY(FileDescriptor Descriptor,
                  Operations.createFile(TemporaryPath));
    LogFile NewLog(std::move(Descriptor), std::move(Path));
    JAYBRIDGE_TRY_STATUS(NewLog.append(Operations, Records));
    JAYBRIDGE_TRY_STATUS(Operations.rename(TemporaryPath, NewLog.Path_));
    JAYBRIDGE_TRY_STATUS(Operations.syncFolder(Folder));
    return NewLog;
  }

  /// Appends Records and syncs the file; they are durable when this succeeds.
  Status append(Files &Operations, const std::vector<std::string> &Records) {
    if (HasFailed_)
      return Error{ErrorCode::Unavailable,
                   Path_ + " accepts no writes after a failed write or sync",
                   {}};
    std::string Data;
    for (const std::string &Payload : Records) {
      if (Payload.size() > MaxRecordSize.value())
        return Error{ErrorCode::Full,
                     "record exceeds the maximum record size of " + Path_,
                     {}};
      Data += encodeRecord(Payload, Size_ + ByteCount(Data.size()));
    }
    HasFailed_ = true;
    JAYBRIDGE_TRY_STATUS(Operations.append(Descriptor_, Data, Path_));
    JAYBRIDGE_TRY_STATUS(Operations.sync(Descriptor_, Path_));
    HasFailed_ = false;
    Size_ += ByteCount(Data.size());
    return success();
  }

  /// Makes all further writes fail with `Unavailable`.
  void disableWrites() { HasFailed_ = true; }

  /// Moves out the records that open() read, oldest first.
  std::vector<std::string> takeRecords() { return std::move(Records_); }
  ByteCount size() const { return Size_; }

private:
  LogFile(FileDescriptor Descriptor, std::string Path)
      : Descriptor_(std::move(Descriptor)), Path_(std::move(Path)) {}

  FileDescriptor Descriptor_;
  std::string Path_;
  ByteCount Size_;
  std::vector<std::string> Records_;
  bool HasFailed_ = false;
};

} // namespace jaybridge
