#pragma once

#include <csignal>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <spawn.h>

namespace jaybridge {

/// Child process of a test. Standard output and standard error are appended to
/// a file. The destructor kills a process that still runs and reaps it.
/// `isRunning` is false after a failed start.
class ChildProcess {
public:
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &OutputFile) {
    std::vector<char *> ArgumentPointers;
    ArgumentPointers.push_back(const_cast<char *>(Program.c_str()));
    for (const std::string &Argument : Arguments)
      ArgumentPointers.push_back(const_cast<char *>(Argument.c_str()));
    ArgumentPointers.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO,
                                     OutputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&ProcessId_, Program.c_str(), &Actions, nullptr,
                    ArgumentPointers.data(), environ) != 0)
      ProcessId_ = -1;
    posix_spawn_file_actions_destroy(&Actions);
  }
  ~ChildProcess() {
    if (!isRunning())
      return;
    send(SIGCONT);
    send(SIGKILL);
    wait();
  }
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ChildProcess(ChildProcess &&Other) noexcept
      : ProcessId_(std::exchange(Other.ProcessId_, -1)) {}
  ChildProcess &operator=(ChildProcess &&Other) noexcept {
    std::swap(ProcessId_, Other.ProcessId_);
    return *this;
  }

  bool isRunning() const { return ProcessId_ > 0; }
  pid_t processId() const { return ProcessId_; }
  /// True when the process has ended by itself; it is not reaped.
  bool hasEnded() const {
    siginfo_t Info{};
    return ProcessId_ > 0 &&
           ::waitid(P_PID, static_cast<id_t>(ProcessId_), &Info,
                    WEXITED | WNOHANG | WNOWAIT) == 0 &&
           Info.si_pid == ProcessId_;
  }
  void send(int Signal) const {
    if (ProcessId_ > 0)
      ::kill(ProcessId_, Signal);
  }
  /// Waits until the process ends. Returns its exit code, or the negated number
  /// of the signal that ended it.
  int wait() {
    int Status = 0;
    if (ProcessId_ > 0)
      ::waitpid(ProcessId_, &Status, 0);
    ProcessId_ = -1;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  }

private:
  pid_t ProcessId_ = -1;
};

} // namespace jaybridge
