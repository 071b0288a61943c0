#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>

#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace jaybridge {

/// Severity of a log line; `Off` disables all lines.
enum class LogLevel { Debug, Info, Warning, Error, Off };

const char *logLevelName(LogLevel Level);
/// Inverse of logLevelName(); empty for an unknown name.
std::optional<LogLevel> parseLogLevel(std::string_view Name);

struct LogField {
  std::string_view Name_;
  std::string_view Value_;
};

/// Formats a line as `event=EVENT name=value ...`. Values that are empty or
/// contain spaces, quotes, backslashes, '=' or control characters are quoted;
/// control characters are replaced by '?'.
std::string formatLogLine(std::string_view Event,
                          std::initializer_list<LogField> Fields);

/// Structured log on standard output with one line per event. Thread-safe;
/// writing never blocks on the output.
class Log {
public:
  /// Lines below MinLevel are discarded. Member is the `member` field of each
  /// line.
  Log(LogLevel MinLevel, const MemberId &Member);
  ~Log();
  Log(const Log &) = delete;
  Log &operator=(const Log &) = delete;

  void write(LogLevel Level, std::string_view Event,
             std::initializer_list<LogField> Fields);
  /// Number of lines dropped because the output was too slow.
  EventCount droppedLineCount() const;
  /// Writes a line if State differs from the last state written for Subject.
  /// Returns whether it did.
  bool writeStateChange(LogLevel Level, std::string_view Subject,
                        std::string_view State);

private:
  class Output;
  std::unique_ptr<Output> Output_;
  std::mutex Mutex_;
  std::map<std::string, std::string, std::less<>> States_;
};

} // namespace jaybridge
