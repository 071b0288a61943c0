#include <LibLog/Log.h>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>

namespace jaybridge {

namespace {

constexpr LogLevel AllLevels[] = {LogLevel::Debug, LogLevel::Info,
                                  LogLevel::Warning, LogLevel::Error,
                                  LogLevel::Off};

spdlog::level::level_enum spdlogLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  case LogLevel::Off:
    return spdlog::level::off;
  }
  return spdlog::level::off;
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         std::any_of(Value.begin(), Value.end(), [](unsigned char Character) {
           return Character <= ' ' || Character == '"' || Character == '=' ||
                  Character == '\\' || Character == 0x7f;
         });
}

std::string quoteIfNeeded(std::string_view Value) {
  if (!needsQuotes(Value))
    return std::string(Value);
  std::string Text = "\"";
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Text += '\\';
    // Control characters are replaced: a line break in a value would look like
    // the start of another log line.
    const auto Byte = static_cast<unsigned char>(Character);
    Text += Byte < ' ' || Byte == 0x7f ? '?' : Character;
  }
  return Text + "\"";
}

} // namespace

const char *logLevelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  case LogLevel::Off:
    return "off";
  }
  return "off";
}

std::optional<LogLevel> parseLogLevel(std::string_view Name) {
  for (LogLevel Level : AllLevels)
    if (Name == logLevelName(Level))
      return Level;
  return std::nullopt;
}

std::string formatLogLine(std::string_view Event,
                          std::initializer_list<LogField> Fields) {
  std::string Line = "event=" + quoteIfNeeded(Event);
  for (const LogField &Field : Fields)
    Line += " " + std::string(Field.Name_) + "=" + quoteIfNeeded(Field.Value_);
  return Line;
}

/// Asynchronous output. A background thread writes the lines from a bounded
/// queue. A full queue drops its oldest line, so that logging never blocks.
class Log::Output {
public:
  Output(LogLevel MinLevel, const MemberId &Member)
      : ThreadPool_(
            std::make_shared<spdlog::details::thread_pool>(QueueCapacity, 1)),
        Logger_(std::make_shared<spdlog::async_logger>(
            Member.text(), std::make_shared<spdlog::sinks::stdout_sink_mt>(),
            ThreadPool_, spdlog::async_overflow_policy::overrun_oldest)) {
    Logger_->set_level(spdlogLevel(MinLevel));
    Logger_->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l member=%n %v",
                         spdlog::pattern_time_type::utc);
    Logger_->flush_on(spdlog::level::info);
  }
  void write(LogLevel Level, const std::string &Line) {
    Logger_->log(spdlogLevel(Level), "{}", Line);
    const std::uint64_t Dropped = ThreadPool_->overrun_counter();
    if (LastReportedDropCount_.exchange(Dropped, std::memory_order_relaxed) !=
        Dropped)
      Logger_->warn("event=log-lines-dropped total={}", Dropped);
  }
  EventCount droppedCount() const {
    return EventCount(ThreadPool_->overrun_counter());
  }

private:
  static constexpr std::size_t QueueCapacity = 4096;

  std::shared_ptr<spdlog::details::thread_pool> ThreadPool_;
  std::shared_ptr<spdlog::async_logger> Logger_;
  std::atomic<std::uint64_t> LastReportedDropCount_ = 0;
};

Log::Log(LogLevel MinLevel, const MemberId &Member)
    : Output_(std::make_unique<Output>(MinLevel, Member)) {}
Log::~Log() = default;

EventCount Log::droppedLineCount() const { return Output_->droppedCount(); }

void Log::write(LogLevel Level, std::string_view Event,
                std::initializer_list<LogField> Fields) {
  Output_->write(Level, formatLogLine(Event, Fields));
}

bool Log::writeStateChange(LogLevel Level, std::string_view Subject,
                           std::string_view State) {
  {
    std::lock_guard Lock(Mutex_);
    auto Found = States_.find(Subject);
    if (Found != States_.end() && Found->second == State)
      return false;
    States_.insert_or_assign(std::string(Subject), std::string(State));
  }
  write(Level, "state-changed", {{"subject", Subject}, {"state", State}});
  return true;
}

} // namespace jaybridge
