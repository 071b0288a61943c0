#pragma once

#include <LibReplication/VoterSet.h>
#include <LibStorage/LogFile.h>

#include <charconv>

namespace jaybridge {

/// The folder of a control member: its generation, chosen once, and its log.
/// Locked against a second process. Nothing outside the folder is touched.
template <FileOperations Files> class DataFolder {
public:
  /// Makes the folder with generation Fresh when it is missing or empty; its
  /// parent must exist. Errors: `Damaged` names file and offset, or the file
  /// that is missing; `Conflict` when another process uses the folder.
  static Result<DataFolder> open(Files Operations, const std::string &Path,
                                 FolderGeneration Fresh) {
    JAYBRIDGE_TRY_STATUS(Operations.createFolder(Path));
    JAYBRIDGE_TRY_STATUS(Operations.syncFolder(Path + "/.."));
    JAYBRIDGE_TRY(FileDescriptor Lock, Operations.lockFolder(Path));
    std::string LogPath = Path + "/log";
    std::string GenerationPath = Path + "/generation";
    if (!Operations.exists(GenerationPath))
      JAYBRIDGE_TRY_STATUS(
          make(Operations, Path, LogPath, GenerationPath, Fresh));
    if (!Operations.exists(LogPath))
      return missing(LogPath);
    JAYBRIDGE_TRY(FolderGeneration Generation,
                  readGeneration(Operations, GenerationPath));
    JAYBRIDGE_TRY(LogFile<Files> Log,
                  LogFile<Files>::open(Operations, LogPath));
    return DataFolder(std::move(Operations), Path, std::move(Lock), Generation,
                      std::move(Log));
  }

  FolderGeneration generation() const { return Generation_; }
  /// The records that were found, oldest first.
  std::vector<std::string> takeRecords() { return Log_.takeRecords(); }

  /// Durable when it succeeds. After a failure all further writes fail.
  Status append(const std::vector<std::string> &Records) {
    return Log_.append(Operations_, Records);
  }

  /// Puts Record in the place of all records. After a failure the old ones are
  /// in force when the folder is opened again, or the new one.
  Status replace(const std::string &Record) {
    auto Replaced =
        LogFile<Files>::replace(Operations_, Path_, Path_ + "/log", {Record});
    if (!Replaced) {
      Log_.close();
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

  /// The generation comes last: a folder without one and with an empty log was
  /// not finished and has promised nothing.
  static Status make(Files &Operations, const std::string &Path,
                     const std::string &LogPath,
                     const std::string &GenerationPath,
                     FolderGeneration Fresh) {
    if (Operations.exists(LogPath)) {
      JAYBRIDGE_TRY(LogFile<Files> Found,
                    LogFile<Files>::open(Operations, LogPath));
      if (!Found.takeRecords().empty())
        return missing(GenerationPath);
    }
    JAYBRIDGE_TRY_STATUS(
        LogFile<Files>::replace(Operations, Path, LogPath, {}));
    JAYBRIDGE_TRY_STATUS(LogFile<Files>::replace(
        Operations, Path, GenerationPath, {std::to_string(Fresh.value())}));
    return success();
  }

  static Result<FolderGeneration> readGeneration(Files &Operations,
                                                 const std::string &Path) {
    JAYBRIDGE_TRY(LogFile<Files> File, LogFile<Files>::open(Operations, Path));
    std::vector<std::string> Records = File.takeRecords();
    std::uint64_t Value = 0;
    if (Records.size() == 1) {
      const char *End = Records[0].data() + Records[0].size();
      auto [Position, Failure] = std::from_chars(Records[0].data(), End, Value);
      if (Failure == std::errc() && Position == End)
        return FolderGeneration(Value);
    }
    return Error{ErrorCode::Damaged, Path + " holds no generation", {}};
  }

  static Error missing(const std::string &Path) {
    return Error{ErrorCode::Damaged, Path + " is missing", {}};
  }

  Files Operations_;
  std::string Path_;
  FileDescriptor Lock_;
  FolderGeneration Generation_;
  LogFile<Files> Log_;
};

} // namespace jaybridge
