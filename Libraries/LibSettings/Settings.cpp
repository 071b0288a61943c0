#include <LibSettings/Settings.h>

#include <algorithm>
#include <charconv>

namespace jaybridge {

namespace {

constexpr std::size_t LongestName = 64;
/// Most VMs that may be dedicated to control (docs/design.md, section 1.6).
constexpr std::size_t MostControlMembers = 29;

Error invalid(const std::string &Flag, const std::string &Value,
              const std::string &Permitted) {
  return Error{ErrorCode::Invalid,
               "--" + Flag + "='" + Value + "' must be " + Permitted, Flag};
}

struct NumberRange {
  const char *Flag_;
  std::uint64_t Default_;
  std::uint64_t Least_;
  std::uint64_t Greatest_;
};

constexpr NumberRange BodyRange = {"body-limit-bytes", 1048576, 1024,
                                   1073741824};
constexpr NumberRange AnswerRange = {"answer-limit-bytes", 4194304, 1024,
                                     1073741824};
constexpr NumberRange PortRange = {"seed-peer-port", 0, 0, 65535};
constexpr NumberRange GraceRange = {"grace-ms", 300000, 100, 86400000};
constexpr NumberRange QueueRange = {"queue-limit", 4096, 1, 1000000};

/// Reads the values one after the other and keeps the first error.
class Reader {
public:
  explicit Reader(const SettingValues &Text) : Text_(Text) {}

  std::string text(const std::string &Flag,
                   const std::string &Default = "") const {
    auto Found = Text_.find(Flag);
    return Found == Text_.end() || Found->second.empty() ? Default
                                                         : Found->second;
  }

  std::string name(const std::string &Flag) {
    std::string Value = text(Flag);
    if (!isName(Value))
      fail(invalid(Flag, Value, "1 to 64 letters, digits, '.', '_' or '-'"));
    return Value;
  }

  std::string path(const std::string &Flag) {
    std::string Value = text(Flag);
    if (Value.empty())
      fail(invalid(Flag, Value, "the path of a readable file"));
    return Value;
  }

  Endpoint address(const std::string &Flag, const std::string &Default) {
    return endpoint(Flag, text(Flag, Default));
  }

  std::uint64_t number(const NumberRange &Range) {
    const std::string Value = text(Range.Flag_, std::to_string(Range.Default_));
    std::uint64_t Read = 0;
    const char *End = Value.data() + Value.size();
    auto [Position, Failure] = std::from_chars(Value.data(), End, Read);
    if (Failure != std::errc() || Position != End || Read < Range.Least_ ||
        Read > Range.Greatest_)
      fail(invalid(Range.Flag_, Value,
                   "a whole number from " + std::to_string(Range.Least_) +
                       " to " + std::to_string(Range.Greatest_)));
    return Read;
  }

  std::vector<Endpoint> addresses(const std::string &Flag) {
    std::vector<Endpoint> Read;
    for (const std::string &Each : list(Flag))
      Read.push_back(endpoint(Flag, Each));
    return Read;
  }

  std::vector<MemberId> members(const std::string &Flag) {
    std::vector<MemberId> Read;
    for (const std::string &Each : list(Flag)) {
      const bool IsKnown =
          std::find(Read.begin(), Read.end(), MemberId(Each)) != Read.end();
      if (!isName(Each) || IsKnown)
        fail(invalid(Flag, Each, "a list of different member ids"));
      Read.emplace_back(Each);
    }
    if (Read.size() > MostControlMembers)
      fail(invalid(Flag, text(Flag), "a list of at most 29 members"));
    return Read;
  }

  LogLevel logLevel(const std::string &Flag) {
    const std::string Value = text(Flag, "info");
    const auto Read = parseLogLevel(Value);
    if (!Read)
      fail(invalid(Flag, Value, "debug, info, warning, error or off"));
    return Read.value_or(LogLevel::Info);
  }

  DaemonDuty duty(const std::string &Flag) {
    const std::string Value = text(Flag, "all");
    if (Value == "gateway")
      return DaemonDuty::Gateway;
    if (Value == "control")
      return DaemonDuty::Control;
    if (Value != "all")
      fail(invalid(Flag, Value, "all, gateway or control"));
    return DaemonDuty::All;
  }

  bool boolean(const std::string &Flag) {
    const std::string Value = text(Flag, "false");
    if (Value != "true" && Value != "false")
      fail(invalid(Flag, Value, "true or false"));
    return Value == "true";
  }

  void fail(Error Found) {
    if (!Error_)
      Error_ = std::move(Found);
  }
  const std::optional<Error> &error() const { return Error_; }

private:
  static bool isName(const std::string &Value) {
    return !Value.empty() && Value.size() <= LongestName &&
           Value.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "0123456789._-") == std::string::npos;
  }

  Endpoint endpoint(const std::string &Flag, const std::string &Value) {
    auto Read = Endpoint::create(Value);
    if (Read)
      return Read.takeValue();
    fail(invalid(Flag, Value, "A.B.C.D:PORT with a port from 0 to 65535"));
    return {};
  }

  std::vector<std::string> list(const std::string &Flag) const {
    std::vector<std::string> Parts;
    std::string Rest = text(Flag);
    while (!Rest.empty()) {
      const std::size_t Comma = std::min(Rest.find(','), Rest.size());
      Parts.push_back(Rest.substr(0, Comma));
      Rest.erase(0, Comma + 1);
    }
    return Parts;
  }

  const SettingValues &Text_;
  std::optional<Error> Error_;
};

void checkControlMember(Reader &From, const Settings &Read) {
  if (Read.Duty_ == DaemonDuty::Control && !Read.DataFolder_)
    From.fail(invalid("data-folder", "", "given for the duty control"));
  if (Read.Duty_ != DaemonDuty::All && Read.Seeds_.empty())
    From.fail(invalid("seeds", "", "given for this duty"));
  if (!Read.DataFolder_ || Read.Duty_ != DaemonDuty::All)
    return;
  const auto &Members = Read.ControlMembers_;
  const bool IsListed =
      std::find(Members.begin(), Members.end(), Read.Member_) != Members.end();
  if (!IsListed)
    From.fail(invalid("control-members", From.text("control-members"),
                      "a list that names this member when --data-folder is "
                      "given"));
}

} // namespace

Result<Settings> Settings::create(const SettingValues &Text) {
  Reader From(Text);
  Settings Read;
  Read.Duty_ = From.duty("duty");
  Read.Member_ = MemberId(From.name("member-id"));
  Read.Domain_ = FailureDomain(From.name("failure-domain"));
  Read.CallerAddress_ = From.address("caller-address", "127.0.0.1:8080");
  Read.AnnounceAddress_ = From.address("announce-address", "127.0.0.1:8081");
  Read.OperatorAddress_ = From.address("operator-address", "127.0.0.1:8082");
  Read.PeerAddress_ = From.address("peer-address", "127.0.0.1:8083");
  Read.AdvertisedPeerAddress_ =
      From.address("advertise-peer-address", Read.PeerAddress_.text());
  Read.Seeds_ = From.addresses("seeds");
  if (const std::string Folder = From.text("data-folder"); !Folder.empty())
    Read.DataFolder_ = Folder;
  Read.ControlMembers_ = From.members("control-members");
  if (auto Number = From.number(PortRange); Number > 0)
    Read.SeedPeerPort_ = Port(static_cast<std::uint16_t>(Number));
  Read.StatusAddress_ = From.address("status-address", "127.0.0.1:8084");
  Read.IsFirstStart_ = From.boolean("first-start");
  Read.HasOpenListeners_ = From.boolean("open-listeners");
  Read.ShutdownGracePeriod_ =
      std::chrono::milliseconds(From.number(GraceRange));
  if (!Read.HasOpenListeners_) {
    Read.OperatorTokenFile_ = From.path("operator-token-file");
    Read.AnnounceTokenFile_ = From.path("announce-token-file");
    Read.PeerTokenFile_ = From.path("peer-token-file");
  }
  Read.BodyLimit_ = ByteCount(From.number(BodyRange));
  Read.AnswerLimit_ = ByteCount(From.number(AnswerRange));
  Read.QueueLimit_ =
      QueueLimit(static_cast<std::uint32_t>(From.number(QueueRange)));
  if (const std::string File = From.text("address-file"); !File.empty())
    Read.AddressFile_ = File;
  Read.LogLevel_ = From.logLevel("log-level");
  Read.IsCheckOnly_ = From.boolean("check-settings");
  checkControlMember(From, Read);
  if (From.error())
    return *From.error();
  return Read;
}

} // namespace jaybridge
