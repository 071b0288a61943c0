#include <LibSettings/Settings.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace jaybridge {

namespace {

constexpr std::size_t MaxNameLength = 64;
/// Maximum number of VMs that may be dedicated to control (docs/design.md,
/// section 1.6).
constexpr std::size_t MaxControlMembers = 29;

Error invalidValueError(const std::string &Flag, const std::string &Value,
                        const std::string &Permitted) {
  return Error{ErrorCode::Invalid,
               "--" + Flag + "='" + Value + "' must be " + Permitted, Flag};
}

/// Default and permitted range of a numeric flag.
struct NumberRange {
  const char *Flag_;
  double Default_;
  double Min_;
  double Max_;
};

constexpr NumberRange BodyLimitRange = {"body-limit-bytes", 1048576, 1024,
                                        1073741824};
constexpr NumberRange AnswerLimitRange = {"answer-limit-bytes", 4194304, 1024,
                                          1073741824};
/// 0 stands for a value that follows from the memory limit.
constexpr NumberRange ReceiveLimitRange = {"receive-limit-bytes", 0, 0,
                                           1099511627776};
/// 0 stands for an unknown amount of memory.
constexpr NumberRange MemoryLimitRange = {"memory-limit-mb", 0, 0, 1048576};
/// 0 stands for a value that follows from the limit of descriptors.
constexpr NumberRange CallerConnectionsRange = {"caller-connections-limit", 0,
                                                0, 1000000};
constexpr std::uint16_t MaxPort = 65535;
constexpr NumberRange SeedPeerPortRange = {"seed-peer-port", 0, 0, MaxPort};
/// The grace period has the same limits in both units.
constexpr NumberRange GraceSecondsRange = {"grace-s", 300, 0.1, 86400};
constexpr NumberRange GraceMillisecondsRange = {"grace-ms", 300000, 100,
                                                86400000};
constexpr NumberRange RetryAllowanceRange = {"retry-allowance", 60, 0, 1000000};
constexpr NumberRange QueueLimitRange = {"queue-limit", 4096, 1, 1000000};

/// Reads typed values from SettingValues and keeps the first error.
class SettingsReader {
public:
  explicit SettingsReader(const SettingValues &Values) : Values_(Values) {}

  std::string readText(const std::string &Flag,
                       const std::string &Default = "") const {
    auto Found = Values_.find(Flag);
    return Found == Values_.end() || Found->second.empty() ? Default
                                                           : Found->second;
  }

  std::string readName(const std::string &Flag) {
    std::string Value = readText(Flag);
    if (!isValidName(Value))
      recordError(invalidValueError(
          Flag, Value, "1 to 64 letters, digits, '.', '_' or '-'"));
    return Value;
  }

  std::string readPath(const std::string &Flag) {
    std::string Value = readText(Flag);
    if (Value.empty())
      recordError(
          invalidValueError(Flag, Value, "the path of a readable file"));
    return Value;
  }

  Endpoint readAddress(const std::string &Flag, const std::string &Default) {
    return parseEndpoint(Flag, readText(Flag, Default));
  }

  std::uint64_t readNumber(const NumberRange &Range) {
    constexpr const char *Kind = "a whole number";
    const double Value = readDecimal(Range, Kind);
    if (!isWhole(Value))
      recordError(rangeError(Range, Kind));
    return static_cast<std::uint64_t>(Value);
  }

  /// Reads a number that may have a fraction, as platforms state their bounds.
  /// Kind and Unit describe the flag in the error message.
  double readDecimal(const NumberRange &Range,
                     const std::string &Kind = "a number",
                     const std::string &Unit = "") {
    const std::string Value = readText(Range.Flag_);
    if (Value.empty())
      return Range.Default_;
    // A NaN is outside any range.
    if (const auto Parsed = parseNumber(Value);
        Parsed && *Parsed >= Range.Min_ && *Parsed <= Range.Max_)
      return *Parsed;
    recordError(rangeError(Range, Kind, Unit));
    return Range.Default_;
  }

  /// Reads a time whose range is stated in units of Unit.
  Duration readDuration(const NumberRange &Range, Duration Unit,
                        const std::string &UnitName) {
    const double Value = readDecimal(Range, "a time", " " + UnitName);
    // 1.001 has no exact binary form; truncation would drop its millisecond.
    return std::chrono::round<Duration>(Value *
                                        std::chrono::duration<double>(Unit));
  }

  std::vector<Endpoint> readAddresses(const std::string &Flag) {
    std::vector<Endpoint> Parsed;
    for (const std::string &Address : readList(Flag))
      Parsed.push_back(parseEndpoint(Flag, Address));
    return Parsed;
  }

  std::vector<MemberId> readMemberIds(const std::string &Flag) {
    std::vector<MemberId> Parsed;
    for (const std::string &Id : readList(Flag)) {
      const bool IsDuplicate =
          std::find(Parsed.begin(), Parsed.end(), MemberId(Id)) != Parsed.end();
      if (!isValidName(Id) || IsDuplicate)
        recordError(invalidValueError(
            Flag, Id, "a comma-separated list of distinct member ids"));
      Parsed.emplace_back(Id);
    }
    if (Parsed.size() > MaxControlMembers)
      recordError(invalidValueError(Flag, readText(Flag),
                                    "a list of at most 29 member ids"));
    return Parsed;
  }

  LogLevel readLogLevel(const std::string &Flag) {
    const std::string Value = readText(Flag, "info");
    const auto Parsed = parseLogLevel(Value);
    if (!Parsed)
      recordError(
          invalidValueError(Flag, Value, "debug, info, warning, error or off"));
    return Parsed.value_or(LogLevel::Info);
  }

  DaemonDuty readDuty(const std::string &Flag) {
    const std::string Value = readText(Flag, "all");
    if (Value == "gateway")
      return DaemonDuty::Gateway;
    if (Value == "control")
      return DaemonDuty::Control;
    if (Value != "all")
      recordError(invalidValueError(Flag, Value, "all, gateway or control"));
    return DaemonDuty::All;
  }

  Placement readPlacement(const std::string &Flag) {
    const std::string Value = readText(Flag, "load");
    if (Value == "cost")
      return Placement::Cost;
    if (Value != "load")
      recordError(invalidValueError(Flag, Value, "load or cost"));
    return Placement::Load;
  }

  bool readBoolean(const std::string &Flag) {
    const std::string Value = readText(Flag, "false");
    if (Value != "true" && Value != "false")
      recordError(invalidValueError(Flag, Value, "true or false"));
    return Value == "true";
  }

  void recordError(Error NewError) {
    if (!FirstError_)
      FirstError_ = std::move(NewError);
  }
  const std::optional<Error> &error() const { return FirstError_; }

private:
  /// Parses a decimal number. A whole number may be written with a fraction of
  /// zero, such as 6.0.
  static std::optional<double> parseNumber(const std::string &Text) {
    double Parsed = 0;
    const char *End = Text.data() + Text.size();
    auto [ParseEnd, ParseError] = std::from_chars(Text.data(), End, Parsed);
    if (ParseError != std::errc() || ParseEnd != End)
      return std::nullopt;
    return Parsed;
  }

  static bool isWhole(double Number) { return Number == std::floor(Number); }

  /// Shortest decimal form without an exponent.
  static std::string numberText(double Number) {
    char Digits[32];
    auto [End, FormatError] = std::to_chars(
        std::begin(Digits), std::end(Digits), Number, std::chars_format::fixed);
    JAYBRIDGE_VERIFY(FormatError == std::errc());
    return {Digits, End};
  }

  Error rangeError(const NumberRange &Range, const std::string &Kind,
                   const std::string &Unit = "") const {
    return invalidValueError(Range.Flag_, readText(Range.Flag_),
                             Kind + " from " + numberText(Range.Min_) + " to " +
                                 numberText(Range.Max_) + Unit);
  }

  static std::optional<Port> parsePort(const std::string &Text) {
    const auto Number = parseNumber(Text);
    if (!Number || *Number < 0 || *Number > MaxPort || !isWhole(*Number))
      return std::nullopt;
    return Port(static_cast<std::uint16_t>(*Number));
  }

  static bool isValidName(const std::string &Value) {
    return !Value.empty() && Value.size() <= MaxNameLength &&
           Value.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "0123456789._-") == std::string::npos;
  }

  Endpoint parseEndpoint(const std::string &Flag, const std::string &Value) {
    // Endpoint::create() would refuse a port that a template writes as 7540.0.
    if (const std::size_t Colon = Value.rfind(':'); Colon != std::string::npos)
      if (const auto Number = parsePort(Value.substr(Colon + 1)))
        if (auto Parsed = Endpoint::create(Value.substr(0, Colon), *Number))
          return Parsed.takeValue();
    recordError(invalidValueError(Flag, Value,
                                  "A.B.C.D:PORT with a port from 0 to 65535"));
    return {};
  }

  std::vector<std::string> readList(const std::string &Flag) const {
    std::vector<std::string> Parts;
    std::string Remaining = readText(Flag);
    while (!Remaining.empty()) {
      const std::size_t Comma = std::min(Remaining.find(','), Remaining.size());
      Parts.push_back(Remaining.substr(0, Comma));
      Remaining.erase(0, Comma + 1);
    }
    return Parts;
  }

  const SettingValues &Values_;
  std::optional<Error> FirstError_;
};

constexpr std::uint64_t Mebibyte = 1024UL * 1024;

/// Bytes that requests may hold together. 44 MB of the process's memory remain
/// for everything else, among it responses that wait to be written.
ByteCount readReceiveLimit(SettingsReader &Reader) {
  constexpr std::uint64_t MemoryOfTheRest = 44 * Mebibyte;
  constexpr std::uint64_t MinDefault = 16 * Mebibyte;
  constexpr std::uint64_t DefaultWithoutMemoryLimit = 128 * Mebibyte;
  const double MemoryLimit = Reader.readDecimal(MemoryLimitRange);
  if (std::uint64_t Limit = Reader.readNumber(ReceiveLimitRange); Limit > 0)
    return ByteCount(std::max(Limit, Mebibyte));
  if (MemoryLimit == 0)
    return ByteCount(DefaultWithoutMemoryLimit);
  const auto Memory = static_cast<std::uint64_t>(MemoryLimit * Mebibyte);
  return ByteCount(
      std::max(MinDefault, Memory - std::min(Memory, MemoryOfTheRest)));
}

/// Platforms state the grace time in seconds, operators may in milliseconds.
Duration readShutdownGracePeriod(SettingsReader &Reader) {
  const std::string Seconds = Reader.readText(GraceSecondsRange.Flag_);
  if (Seconds.empty())
    return Reader.readDuration(GraceMillisecondsRange, 1ms, "ms");
  if (!Reader.readText(GraceMillisecondsRange.Flag_).empty())
    Reader.recordError(invalidValueError(GraceSecondsRange.Flag_, Seconds,
                                         "unset when --grace-ms is set"));
  return Reader.readDuration(GraceSecondsRange, 1s, "s");
}

void checkDutySettings(SettingsReader &Reader, const Settings &Parsed) {
  if (Parsed.Duty_ == DaemonDuty::Control && !Parsed.DataFolder_)
    Reader.recordError(
        invalidValueError("data-folder", "", "set for --duty=control"));
  if (Parsed.Duty_ != DaemonDuty::All && Parsed.Seeds_.empty())
    Reader.recordError(invalidValueError("seeds", "", "set for this --duty"));
  if (!Parsed.DataFolder_ || Parsed.Duty_ != DaemonDuty::All)
    return;
  const auto &Members = Parsed.ControlMembers_;
  const bool IsListed = std::find(Members.begin(), Members.end(),
                                  Parsed.Member_) != Members.end();
  if (!IsListed)
    Reader.recordError(
        invalidValueError("control-members", Reader.readText("control-members"),
                          "a list that contains this member's id when "
                          "--data-folder is set"));
}

} // namespace

Result<Settings> Settings::create(const SettingValues &Values) {
  SettingsReader Reader(Values);
  Settings Parsed;
  Parsed.Duty_ = Reader.readDuty("duty");
  Parsed.Member_ = MemberId(Reader.readName("member-id"));
  Parsed.Domain_ = FailureDomain(Reader.readName("failure-domain"));
  Parsed.CallerAddress_ =
      Reader.readAddress("caller-address", "127.0.0.1:8080");
  Parsed.AnnounceAddress_ =
      Reader.readAddress("announce-address", "127.0.0.1:8081");
  Parsed.OperatorAddress_ =
      Reader.readAddress("operator-address", "127.0.0.1:8082");
  Parsed.PeerAddress_ = Reader.readAddress("peer-address", "127.0.0.1:8083");
  Parsed.AdvertisedPeerAddress_ =
      Reader.readAddress("advertise-peer-address", Parsed.PeerAddress_.text());
  Parsed.Seeds_ = Reader.readAddresses("seeds");
  if (const std::string Folder = Reader.readText("data-folder");
      !Folder.empty())
    Parsed.DataFolder_ = Folder;
  Parsed.ControlMembers_ = Reader.readMemberIds("control-members");
  if (auto PortNumber = Reader.readNumber(SeedPeerPortRange); PortNumber > 0)
    Parsed.SeedPeerPort_ = Port(static_cast<std::uint16_t>(PortNumber));
  Parsed.StatusAddress_ =
      Reader.readAddress("status-address", "127.0.0.1:8084");
  Parsed.IsFirstStart_ = Reader.readBoolean("first-start");
  Parsed.HasOpenListeners_ = Reader.readBoolean("open-listeners");
  Parsed.ShutdownGracePeriod_ = readShutdownGracePeriod(Reader);
  if (!Parsed.HasOpenListeners_) {
    Parsed.OperatorTokenFile_ = Reader.readPath("operator-token-file");
    Parsed.AnnounceTokenFile_ = Reader.readPath("announce-token-file");
    Parsed.PeerTokenFile_ = Reader.readPath("peer-token-file");
  }
  Parsed.BodyLimit_ = ByteCount(Reader.readNumber(BodyLimitRange));
  Parsed.AnswerLimit_ = ByteCount(Reader.readNumber(AnswerLimitRange));
  Parsed.ReceiveLimit_ = readReceiveLimit(Reader);
  if (auto Limit = Reader.readNumber(CallerConnectionsRange); Limit > 0)
    Parsed.CallerConnectionsLimit_ = EventCount(Limit);
  Parsed.QueueLimit_ = QueueLimit(
      static_cast<std::uint32_t>(Reader.readNumber(QueueLimitRange)));
  // Without its fraction, so that the fleet stays within the stated bound.
  Parsed.RetryAllowance_ = EventCount(
      static_cast<std::uint64_t>(Reader.readDecimal(RetryAllowanceRange)));
  if (const std::string File = Reader.readText("address-file"); !File.empty())
    Parsed.AddressFile_ = File;
  Parsed.Placement_ = Reader.readPlacement("placement");
  Parsed.LogLevel_ = Reader.readLogLevel("log-level");
  Parsed.IsCheckOnly_ = Reader.readBoolean("check-settings");
  checkDutySettings(Reader, Parsed);
  if (Reader.error())
    return *Reader.error();
  return Parsed;
}

} // namespace jaybridge
