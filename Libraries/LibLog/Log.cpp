#include <LibLog/Log.h>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

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

std::optional<LogLevel> logLevelOf(std::string_view Name) {
  for (LogLevel Each : Levels)
    if (Name == logLevelName(Each))
      return Each;
  return std::nullopt;
}

std::string logLineOf(std::string_view Event,
                      std::initializer_list<LogField> Fields) {
  std::string Line = "event=" + quoted(Event);
  for (const LogField &Each : Fields)
    Line += " " + std::string(Each.Name_) + "=" + quoted(Each.Value_);
  return Line;
}

class Log::Output {
public:
  Output(LogLevel Lowest, const MemberId &Member)
      : Logger_(Member.text(),
                std::make_shared<spdlog::sinks::stderr_sink_mt>()) {
    Logger_.set_level(spdlogLevel(Lowest));
    Logger_.set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l member=%n %v",
                        spdlog::pattern_time_type::utc);
  }
  void write(LogLevel Level, const std::string &Line) {
    Logger_.log(spdlogLevel(Level), "{}", Line);
  }

private:
  spdlog::logger Logger_;
};

Log::Log(LogLevel Lowest, const MemberId &Member)
    : Output_(std::make_unique<Output>(Lowest, Member)) {}
Log::~Log() = default;

void Log::write(LogLevel Level, std::string_view Event,
                std::initializer_list<LogField> Fields) {
  Output_->write(Level, logLineOf(Event, Fields));
}

bool Log::writeChange(LogLevel Level, std::string_view Subject,
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
