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

/// A program started by a test; ended by its id when the test is over. Its
/// output goes to a file.
class ChildProcess {
public:
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &OutputFile) {
    std::vector<char *> Words;
    Words.push_back(const_cast<char *>(Program.c_str()));
    for (const std::string &Argument : Arguments)
      Words.push_back(const_cast<char *>(Argument.c_str()));
    Words.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO,
                                     OutputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&Id_, Program.c_str(), &Actions, nullptr, Words.data(),
                    environ) != 0)
      Id_ = -1;
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
      : Id_(std::exchange(Other.Id_, -1)) {}
  ChildProcess &operator=(ChildProcess &&Other) noexcept {
    std::swap(Id_, Other.Id_);
    return *this;
  }

  bool isRunning() const { return Id_ > 0; }
  void send(int Signal) const {
    if (Id_ > 0)
      ::kill(Id_, Signal);
  }
  /// Waits for the end of the process; its exit code, or minus the signal.
  int wait() {
    int Status = 0;
    if (Id_ > 0)
      ::waitpid(Id_, &Status, 0);
    Id_ = -1;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  }

private:
  pid_t Id_ = -1;
};

} // namespace jaybridge
