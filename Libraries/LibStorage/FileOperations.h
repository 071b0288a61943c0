#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibStorage/FileDescriptor.h>

#include <concepts>
#include <string>
#include <string_view>

namespace jaybridge {

/// File system operations used by the storage classes. Tests substitute an
/// implementation that injects faults. Errors are `Full` for a full disk or an
/// exceeded quota, `NotFound` for a missing file and `Internal` otherwise, and
/// their message names the file.
template <typename Files>
concept FileOperations = requires(Files &F, const FileDescriptor &Descriptor,
                                  const std::string &Path,
                                  std::string_view Data, ByteCount Size) {
  { F.openFile(Path) } -> std::same_as<Result<FileDescriptor>>;
  { F.createFile(Path) } -> std::same_as<Result<FileDescriptor>>;
  { F.createFolder(Path) } -> std::same_as<Status>;
  { F.lockFolder(Path) } -> std::same_as<Result<FileDescriptor>>;
  { F.readAll(Descriptor, Path) } -> std::same_as<Result<std::string>>;
  { F.append(Descriptor, Data, Path) } -> std::same_as<Status>;
  { F.truncate(Descriptor, Size, Path) } -> std::same_as<Status>;
  { F.sync(Descriptor, Path) } -> std::same_as<Status>;
  { F.syncFolder(Path) } -> std::same_as<Status>;
  { F.rename(Path, Path) } -> std::same_as<Status>;
  { F.exists(Path) } -> std::same_as<bool>;
};

/// Implementation of FileOperations with POSIX system calls.
struct PosixFiles {
  /// Opens an existing file for reading and appending.
  Result<FileDescriptor> openFile(const std::string &Path);
  /// Like openFile(), but creates the file or truncates it.
  Result<FileDescriptor> createFile(const std::string &Path);
  /// Succeeds also when the folder exists already.
  Status createFolder(const std::string &Path);
  /// Takes an exclusive lock that lasts until the descriptor is closed. Returns
  /// `Conflict` while another process holds the lock.
  Result<FileDescriptor> lockFolder(const std::string &Path);
  Result<std::string> readAll(const FileDescriptor &Descriptor,
                              const std::string &Path);
  Status append(const FileDescriptor &Descriptor, std::string_view Data,
                const std::string &Path);
  Status truncate(const FileDescriptor &Descriptor, ByteCount Size,
                  const std::string &Path);
  Status sync(const FileDescriptor &Descriptor, const std::string &Path);
  Status syncFolder(const std::string &Path);
  Status rename(const std::string &From, const std::string &To);
  bool exists(const std::string &Path);
};

static_assert(FileOperations<PosixFiles>);

} // namespace jaybridge
