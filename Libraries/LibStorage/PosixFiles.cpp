#include <LibStorage/FileOperations.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace jaybridge {

namespace {

constexpr mode_t FileMode = 0600;
constexpr mode_t FolderMode = 0700;

Error systemError(const char *Action, const std::string &Path,
                  int ErrorNumber) {
  ErrorCode Code = ErrorCode::Internal;
  if (ErrorNumber == ENOSPC || ErrorNumber == EDQUOT)
    Code = ErrorCode::Full;
  else if (ErrorNumber == ENOENT)
    Code = ErrorCode::NotFound;
  return Error{Code,
               std::string("cannot ") + Action + " " + Path + ": " +
                   std::generic_category().message(ErrorNumber),
               {}};
}

Status toStatus(int ReturnValue, const char *Action, const std::string &Path) {
  if (ReturnValue == 0)
    return success();
  return systemError(Action, Path, errno);
}

Result<FileDescriptor> openDescriptor(const std::string &Path, int Flags) {
  int Number = ::open(Path.c_str(), Flags | O_CLOEXEC, FileMode);
  if (Number < 0)
    return systemError("open", Path, errno);
  return FileDescriptor(Number);
}

} // namespace

FileDescriptor::~FileDescriptor() {
  if (Number_ != Closed)
    ::close(Number_);
}

Result<FileDescriptor> PosixFiles::openFile(const std::string &Path) {
  return openDescriptor(Path, O_RDWR | O_APPEND);
}

Result<FileDescriptor> PosixFiles::createFile(const std::string &Path) {
  return openDescriptor(Path, O_RDWR | O_APPEND | O_CREAT | O_TRUNC);
}

Status PosixFiles::createFolder(const std::string &Path) {
  if (::mkdir(Path.c_str(), FolderMode) == 0 || errno == EEXIST)
    return success();
  return systemError("create", Path, errno);
}

Result<FileDescriptor> PosixFiles::lockFolder(const std::string &Path) {
  JAYBRIDGE_TRY(FileDescriptor Folder,
                openDescriptor(Path, O_RDONLY | O_DIRECTORY));
  if (::flock(Folder.number(), LOCK_EX | LOCK_NB) == 0)
    return Folder;
  if (errno == EWOULDBLOCK)
    return Error{ErrorCode::Conflict,
                 "data folder " + Path + " is in use by another process",
                 {}};
  return systemError("lock", Path, errno);
}

Result<std::string> PosixFiles::readAll(const FileDescriptor &Descriptor,
                                        const std::string &Path) {
  constexpr std::size_t ChunkSize = std::size_t(64) * 1024;
  std::string Content;
  while (true) {
    std::size_t OldSize = Content.size();
    Content.resize(OldSize + ChunkSize);
    ssize_t Count = ::pread(Descriptor.number(), Content.data() + OldSize,
                            ChunkSize, static_cast<off_t>(OldSize));
    if (Count < 0 && errno != EINTR)
      return systemError("read", Path, errno);
    Content.resize(OldSize +
                   static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
    if (Count == 0)
      return Content;
  }
}

Status PosixFiles::append(const FileDescriptor &Descriptor,
                          std::string_view Data, const std::string &Path) {
  while (!Data.empty()) {
    ssize_t Count = ::write(Descriptor.number(), Data.data(), Data.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return systemError("write", Path, errno);
    Data.remove_prefix(static_cast<std::size_t>(Count));
  }
  return success();
}

Status PosixFiles::truncate(const FileDescriptor &Descriptor, ByteCount Size,
                            const std::string &Path) {
  return toStatus(
      ::ftruncate(Descriptor.number(), static_cast<off_t>(Size.value())),
      "truncate", Path);
}

Status PosixFiles::sync(const FileDescriptor &Descriptor,
                        const std::string &Path) {
  return toStatus(::fsync(Descriptor.number()), "sync", Path);
}

Status PosixFiles::syncFolder(const std::string &Path) {
  JAYBRIDGE_TRY(FileDescriptor Folder,
                openDescriptor(Path, O_RDONLY | O_DIRECTORY));
  return sync(Folder, Path);
}

Status PosixFiles::rename(const std::string &From, const std::string &To) {
  return toStatus(std::rename(From.c_str(), To.c_str()), "rename", From);
}

bool PosixFiles::exists(const std::string &Path) {
  return ::access(Path.c_str(), F_OK) == 0;
}

} // namespace jaybridge
