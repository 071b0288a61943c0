#pragma once

#include <LibReplication/VoterSet.h>
#include <LibStorage/LogFile.h>

#include <charconv>

namespace jaybridge {

/// Data folder of a control member. It holds the generation, which is written
/// once, and the log. A file lock keeps other processes out. Files outside the
/// folder are never changed.
template <FileOperations Files> class DataFolder {
public:
  /// Opens the folder and locks it. A folder that is missing or empty is
  /// created with generation NewGeneration; its parent must exist. Errors:
  /// `Damaged` with the file and the offset, or with the missing file;
  /// `Conflict` when another process holds the lock.
  static Result<DataFolder> open(Files Operations, const std::string &Path,
                                 FolderGeneration NewGeneration) {
    JAYBRIDGE_TRY_STATUS(Operations.createFolder(Path));
    JAYBRIDGE_TRY_STATUS(Operations.syncFolder(Path + "/.."));
    JAYBRIDGE_TRY(FileDescriptor Lock, Operations.lockFolder(Path));
    std::string LogPath = Path + "/log";
    std::string GenerationPath = Path + "/generation";
    if (!Operations.exists(GenerationPath))
      JAYBRIDGE_TRY_STATUS(
          initialize(Operations, Path, LogPath, GenerationPath, NewGeneration));
    if (!Operations.exists(LogPath))
      return missingFileError(LogPath);
    JAYBRIDGE_TRY(FolderGeneration Generation,
                  readGeneration(Operations, GenerationPath));
    JAYBRIDGE_TRY(LogFile<Files> Log,
                  LogFile<Files>::open(Operations, LogPath));
    return DataFolder(std::move(Operations), Path, std::move(Lock), Generation,
                      std::move(Log));
  }

  FolderGeneration generation() const { return Generation_; }
  /// Moves out the records that open() read, oldest first.
  std::vector<std::string> takeRecords() { return Log_.takeRecords(); }

  /// Appends Records to the log; they are durable when this succeeds. After a
  /// failure all further writes fail.
  Status append(const std::vector<std::string> &Records) {
    return Log_.append(Operations_, Records);
  }

  /// Atomically replaces the whole log by Record. After a failure the next
  /// open() finds either the old records or the new one.
  Status replace(const std::string &Record) {
    auto Replaced =
        LogFile<Files>::replace(Operations_, Path_, Path_ + "/log", {Record});
    if (!Replaced) {
      Log_.disableWrites();
      return Replaced.takeError();
    }
    Log_ = Replaced.takeValue();
    return success();
  }

  ByteCount logSize() const { return Log_.size(); }

private:
  DataFolder(Files Operations, std::string Path, FileDescriptor Lock,
             FolderGeneration Generation, LogFile<Files> Log)
      : Operations_(std::move(Operations)), Path_(std::move(Path)),
        Lock_(std::move(Lock)), Generation_(Generation), Log_(std::move(Log)) {}

  /// Writes an empty log, then the generation. A folder with an empty log and
  /// no generation was therefore not completely initialized and has never
  /// acknowledged a write, so that initializing it again is safe.
  static Status initialize(Files &Operations, const std::string &Path,
                           const std::string &LogPath,
                           const std::string &GenerationPath,
                           FolderGeneration NewGeneration) {
    if (Operations.exists(LogPath)) {
      JAYBRIDGE_TRY(LogFile<Files> ExistingLog,
                    LogFile<Files>::open(Operations, LogPath));
      if (!ExistingLog.takeRecords().empty())
        return missingFileError(GenerationPath);
    }
    JAYBRIDGE_TRY_STATUS(
        LogFile<Files>::replace(Operations, Path, LogPath, {}));
    JAYBRIDGE_TRY_STATUS(
        LogFile<Files>::replace(Operations, Path, GenerationPath,
                                {std::to_string(NewGeneration.value())}));
    return success();
  }

  static Result<FolderGeneration> readGeneration(Files &Operations,
                                                 const std::string &Path) {
    JAYBRIDGE_TRY(LogFile<Files> File, LogFile<Files>::open(Operations, Path));
    std::vector<std::string> Records = File.takeRecords();
    std::uint64_t Value = 0;
    if (Records.size() == 1) {
      const char *End = Records[0].data() + Records[0].size();
      auto [ParseEnd, ParseError] =
          std::from_chars(Records[0].data(), End, Value);
      if (ParseError == std::errc() && ParseEnd == End)
        return FolderGeneration(Value);
    }
    return Error{ErrorCode::Damaged,
                 Path + " does not contain a valid generation number",
                 {}};
  }

  static Error missingFileError(const std::string &Path) {
    return Error{
        ErrorCode::Damaged, Path + " is missing from the data folder", {}};
  }

  Files Operations_;
  std::string Path_;
  FileDescriptor Lock_;
  FolderGeneration Generation_;
  LogFile<Files> Log_;
};

} // namespace jaybridge
