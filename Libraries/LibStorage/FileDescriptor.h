#pragma once

#include <utility>

namespace jaybridge {

/// Owns a POSIX file descriptor and closes it on destruction.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int Number) : Number_(Number) {}
  ~FileDescriptor();
  FileDescriptor(FileDescriptor &&Other) noexcept
      : Number_(std::exchange(Other.Number_, Closed)) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept {
    std::swap(Number_, Other.Number_);
    return *this;
  }
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;

  int number() const { return Number_; }

private:
  static constexpr int Closed = -1;

  int Number_ = Closed;
};

} // namespace jaybridge
