#include <LibLog/Log.h>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>

namespace jaybridge {

namespace {

constexpr LogLevel Levels[] = {LogLevel::Debug, LogLevel::Info,
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

std::string quoted(std::string_view Value) {
  if (!needsQuotes(Value))
    return std::string(Value);
  std::string Text = "\"";
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Text += '\\';
    // A line break in a value would look like a line of its own.
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
  for (LogLevel Each : Levels)
    if (Name == logLevelName(Each))
      return Each;
  return std::nullopt;
}

std::string formatLogLine(std::string_view Event,
                          std::initializer_list<LogField> Fields) {
  std::string Line = "event=" + quoted(Event);
  for (const LogField &Each : Fields)
    Line += " " + std::string(Each.Name_) + "=" + quoted(Each.Value_);
  return Line;
}

/// Lines wait in a bounded queue for a thread that writes them. A full queue
/// drops its oldest line, so that no thread ever waits for the output.
class Log::Output {
public:
  Output(LogLevel Lowest, const MemberId &Member)
      : Writer_(
            std::make_shared<spdlog::details::thread_pool>(WaitingLines, 1)),
        Logger_(std::make_shared<spdlog::async_logger>(
            Member.text(), std::make_shared<spdlog::sinks::stdout_sink_mt>(),
            Writer_, spdlog::async_overflow_policy::overrun_oldest)) {
    Logger_->set_level(spdlogLevel(Lowest));
    Logger_->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l member=%n %v",
                         spdlog::pattern_time_type::utc);
    Logger_->flush_on(spdlog::level::info);
  }
  void write(LogLevel Level, const std::string &Line) {
    Logger_->log(spdlogLevel(Level), "{}", Line);
    const std::uint64_t Dropped = Writer_->overrun_counter();
    if (Told_.exchange(Dropped, std::memory_order_relaxed) != Dropped)
      Logger_->warn("event=log-lines-dropped total={}", Dropped);
  }
  EventCount dropped() const { return EventCount(Writer_->overrun_counter()); }

private:
  static constexpr std::size_t WaitingLines = 4096;

  std::shared_ptr<spdlog::details::thread_pool> Writer_;
  std::shared_ptr<spdlog::async_logger> Logger_;
  std::atomic<std::uint64_t> Told_ = 0;
};

Log::Log(LogLevel Lowest, const MemberId &Member)
    : Output_(std::make_unique<Output>(Lowest, Member)) {}
Log::~Log() = default;

EventCount Log::droppedLineCount() const { return Output_->dropped(); }

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
