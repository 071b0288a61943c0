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

enum class LogLevel { Debug, Info, Warning, Error, Off };

const char *logLevelName(LogLevel Level);
std::optional<LogLevel> parseLogLevel(std::string_view Name);

struct LogField {
  std::string_view Name_;
  std::string_view Value_;
};

/// `event=EVENT name=value ...`; values with spaces, quotes, '=' or control
/// characters are quoted and escaped.
std::string formatLogLine(std::string_view Event,
                          std::initializer_list<LogField> Fields);

/// Writes one line for each event to standard output. For any thread; no call
/// waits.
class Log {
public:
  Log(LogLevel Lowest, const MemberId &Member);
  ~Log();
  Log(const Log &) = delete;
  Log &operator=(const Log &) = delete;

  void write(LogLevel Level, std::string_view Event,
             std::initializer_list<LogField> Fields);
  /// Lines lost because the output did not keep up.
  EventCount droppedLineCount() const;
  /// Writes a line only when the subject's state differs from the last one
  /// that was written. True when it did.
  bool writeStateChange(LogLevel Level, std::string_view Subject,
                        std::string_view State);

private:
  class Output;
  std::unique_ptr<Output> Output_;
  std::mutex Mutex_;
  std::map<std::string, std::string, std::less<>> States_;
};

} // namespace jaybridge
