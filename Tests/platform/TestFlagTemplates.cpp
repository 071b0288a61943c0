#include <Support/CaseName.h>

#include <LibSettings/Settings.h>

#include <gtest/gtest.h>

#include <fstream>
#include <optional>
#include <sstream>

namespace jaybridge {
namespace {

using Fields = std::map<std::string, std::string>;

Fields commonFields() {
  return {{"NodeName", "vm-1"},
          {"Zone", "shah-alam"},
          {"Ip", "127.1.0.34"},
          {"PortRange.0", "7540"},
          {"Seeds", "127.1.0.37:8544,127.2.0.37:8544"},
          {"Bootstrap", "true"},
          {"DataDir", "data"},
          {"Bounds.GraceS", "6"},
          {"Bounds.RetryBudgetSlack", "62"},
          {"Limits.MemoryMb", "260"},
          {"Listen.Control", "127.1.0.34:8544"},
          {"Listen.Front", "127.1.0.34:8548"},
          {"Listen.ReadinessAddr", "127.1.0.34:8542"}};
}

/// Fills in a template of the platform. A field without a value gives nothing,
/// and a section without a value is left out.
std::string fillIn(std::string Text, const Fields &Values) {
  for (std::size_t Start = Text.find("{{"); Start != std::string::npos;
       Start = Text.find("{{")) {
    const std::size_t End = Text.find("}}", Start) + 2;
    std::string Name = Text.substr(Start + 2, End - Start - 4);
    const bool IsSection = Name.front() == '#';
    if (IsSection)
      Name.erase(0, 1);
    const auto Found = Values.find(Name);
    if (!IsSection) {
      Text.replace(Start, End - Start,
                   Found == Values.end() ? "" : Found->second);
      continue;
    }
    const std::string Closing = "{{/" + Name + "}}";
    const std::size_t Close = Text.find(Closing, End);
    const std::string Inner = Text.substr(End, Close - End);
    Text.replace(Start, Close + Closing.size() - Start,
                 Found == Values.end() ? "" : Inner);
  }
  return Text;
}

/// Settings of a daemon whose template is filled in with Value for Field, or
/// without that field when Value is empty.
Result<Settings> readTemplate(const std::string &Name, const std::string &Field,
                              const std::string &Value) {
  Fields Values = commonFields();
  Values.erase(Field);
  if (!Value.empty())
    Values[Field] = Value;
  std::ifstream File(std::string(JAYBRIDGE_TEMPLATES) + "/" + Name + ".flags");
  std::ostringstream Template;
  Template << File.rdbuf();
  std::istringstream Lines(fillIn(Template.str(), Values));
  SettingValues Flags;
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Equals = Line.find('=');
    Flags[Line.substr(2, Equals - 2)] = Line.substr(Equals + 1);
  }
  return Settings::create(Flags);
}

/// A field of the templates, the flag that reads it and what may stand there.
struct TemplateField {
  std::vector<const char *> Templates_;
  const char *Name_;
  const char *Flag_;
  const char *Permitted_;
  std::uint64_t (*Read_)(const Settings &);
};

const TemplateField Grace = {{"gateway", "control"},
                             "Bounds.GraceS",
                             "grace-s",
                             "a time from 0.1 to 86400 s",
                             [](const Settings &Read) {
                               return static_cast<std::uint64_t>(
                                   Read.ShutdownGracePeriod_.count());
                             }};
const TemplateField PeerPort = {{"gateway", "control"},
                                "PortRange.0",
                                "peer-address",
                                "a port from 0 to 65535",
                                [](const Settings &Read) {
                                  return std::uint64_t{
                                      Read.PeerAddress_.port().value()};
                                }};
const TemplateField SeedPort = {{"gateway", "control"},
                                "PortRange.0",
                                "seed-peer-port",
                                "",
                                [](const Settings &Read) {
                                  return std::uint64_t{
                                      Read.SeedPeerPort_->value()};
                                }};
const TemplateField Memory = {
    {"gateway"},
    "Limits.MemoryMb",
    "memory-limit-mb",
    "a number from 0 to 1048576",
    [](const Settings &Read) { return Read.ReceiveLimit_.value() / 1024; }};
const TemplateField Retries = {
    {"control"},
    "Bounds.RetryBudgetSlack",
    "retry-allowance",
    "a number from 0 to 1000000",
    [](const Settings &Read) { return Read.RetryAllowance_.value(); }};
const TemplateField FirstStart = {
    {"control"},
    "Bootstrap",
    "first-start",
    "true or false",
    [](const Settings &Read) -> std::uint64_t { return Read.IsFirstStart_; }};

struct FieldCase {
  const char *Name_;
  TemplateField Field_;
  /// Empty when the platform gives no value.
  std::string Value_;
  /// None when the daemon refuses the value.
  std::optional<std::uint64_t> Expected_;
};

class FlagTemplateTest : public testing::TestWithParam<FieldCase> {};

// Guards against settings that are refused or altered by the form of a value.
TEST_P(FlagTemplateTest, KeepsEachValueOrNamesItsRange) {
  const auto &[Name, Field, Value, Expected] = GetParam();
  for (const std::string Template : Field.Templates_) {
    auto Parsed = readTemplate(Template, Field.Name_, Value);
    const std::string Message = Parsed ? "" : Parsed.error().Message_;
    ASSERT_EQ(Parsed.hasValue(), Expected.has_value()) << Template << Message;
    if (Parsed) {
      EXPECT_EQ(Field.Read_(Parsed.value()), *Expected) << Template;
      continue;
    }
    EXPECT_EQ(Parsed.error().Field_, Field.Flag_) << Template;
    for (const std::string &Part : {std::string("--") + Field.Flag_ + "='",
                                    Value + "'", std::string(Field.Permitted_)})
      EXPECT_NE(Message.find(Part), std::string::npos) << Template << Message;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Grace, FlagTemplateTest,
    testing::Values(FieldCase{"Whole", Grace, "6", 6'000'000},
                    FieldCase{"ZeroFraction", Grace, "6.0", 6'000'000},
                    FieldCase{"Half", Grace, "6.5", 6'500'000},
                    FieldCase{"Exponent", Grace, "6.5e0", 6'500'000},
                    // 2.3 and 1.001 have no exact binary form.
                    FieldCase{"Tenth", Grace, "2.3", 2'300'000},
                    FieldCase{"Millisecond", Grace, "1.001", 1'001'000},
                    FieldCase{"Least", Grace, "0.1", 100'000},
                    FieldCase{"Greatest", Grace, "86400.0", 86'400'000'000},
                    FieldCase{"None", Grace, "", 300'000'000},
                    FieldCase{"Word", Grace, "soon", {}},
                    FieldCase{"Boolean", Grace, "true", {}},
                    FieldCase{"WithUnit", Grace, "6s", {}},
                    FieldCase{"Comma", Grace, "6,5", {}},
                    FieldCase{"Zero", Grace, "0", {}},
                    FieldCase{"Negative", Grace, "-6", {}},
                    FieldCase{"TooShort", Grace, "0.0999", {}},
                    FieldCase{"TooLong", Grace, "86400.001", {}},
                    FieldCase{"BeyondDuration", Grace, "1e300", {}},
                    FieldCase{"BeyondDouble", Grace, "1e999", {}},
                    FieldCase{"Infinite", Grace, "inf", {}},
                    FieldCase{"NotANumber", Grace, "nan", {}}),
    CaseName());

INSTANTIATE_TEST_SUITE_P(
    Numbers, FlagTemplateTest,
    testing::Values(
        FieldCase{"PeerPort", PeerPort, "7541", 7541},
        FieldCase{"PeerPortZeroFraction", PeerPort, "7541.0", 7541},
        FieldCase{"PeerPortFraction", PeerPort, "7540.5", {}},
        FieldCase{"PeerPortTooGreat", PeerPort, "65536", {}},
        FieldCase{"SeedPort", SeedPort, "7541", 7541},
        FieldCase{"SeedPortZeroFraction", SeedPort, "7541.0", 7541},
        FieldCase{"Memory", Memory, "260", 216 * 1024},
        FieldCase{"MemoryZeroFraction", Memory, "260.0", 216 * 1024},
        FieldCase{"MemoryFraction", Memory, "260.5", 216 * 1024 + 512},
        FieldCase{"MemoryBelowOne", Memory, "0.5", 16 * 1024},
        FieldCase{"NoMemory", Memory, "", 128 * 1024},
        FieldCase{"MemoryWithUnit", Memory, "260MB", {}},
        FieldCase{"Retries", Retries, "410", 410},
        FieldCase{"RetriesZeroFraction", Retries, "410.0", 410},
        FieldCase{"RetriesFraction", Retries, "22.9", 22},
        FieldCase{"ZeroRetries", Retries, "0", 0},
        FieldCase{"NoRetries", Retries, "", 60},
        FieldCase{"NegativeRetries", Retries, "-1", {}},
        FieldCase{"BooleanRetries", Retries, "true", {}},
        FieldCase{"FirstStart", FirstStart, "true", 1},
        FieldCase{"LaterStart", FirstStart, "false", 0},
        FieldCase{"NoFirstStart", FirstStart, "", 0},
        FieldCase{"FirstStartWord", FirstStart, "yes", {}}),
    CaseName());

} // namespace
} // namespace jaybridge
