#include <LibSettings/Settings.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <cstdlib>

namespace jaybridge {
namespace {

SettingValues validValues() {
  return {{"member-id", "m1"},          {"failure-domain", "yoff"},
          {"operator-token-file", "o"}, {"announce-token-file", "a"},
          {"peer-token-file", "p"},     {"peer-address", "127.0.0.1:0"},
          {"control-members", "m1,m2"}};
}

struct SettingsCase {
  const char *Name_;
  const char *Flag_;
  std::string Value_;
  /// Empty when the value is valid, otherwise a part of the error message.
  const char *Message_;
};

class SettingsTest : public testing::TestWithParam<SettingsCase> {};

// Guards against a daemon that starts with invalid settings, and against error
// messages that do not name the flag, its value and the permitted range.
TEST_P(SettingsTest, RejectsInvalidValuesNamingFlagAndRange) {
  SettingValues Values = validValues();
  Values[GetParam().Flag_] = GetParam().Value_;
  auto Parsed = Settings::create(Values);
  EXPECT_EQ(Parsed.hasValue(), std::string(GetParam().Message_).empty());
  if (Parsed)
    return;
  EXPECT_EQ(Parsed.error().Field_, GetParam().Flag_);
  for (const std::string &Part :
       {std::string("--") + GetParam().Flag_, "'" + GetParam().Value_ + "'",
        std::string(GetParam().Message_)})
    EXPECT_NE(Parsed.error().Message_.find(Part), std::string::npos)
        << Parsed.error().Message_;
}

INSTANTIATE_TEST_SUITE_P(
    Values, SettingsTest,
    testing::Values(
        SettingsCase{"Id", "member-id", "vm-17.a_B", ""},
        SettingsCase{"NoId", "member-id", "", "1 to 64 letters"},
        SettingsCase{"IdWithSpace", "member-id", "a b", "1 to 64 letters"},
        SettingsCase{"LongId", "member-id", std::string(65, 'a'),
                     "1 to 64 letters"},
        SettingsCase{"NoDomain", "failure-domain", "", "1 to 64 letters"},
        SettingsCase{"Address", "caller-address", "10.1.2.3:80", ""},
        SettingsCase{"HostName", "caller-address", "localhost:80",
                     "A.B.C.D:PORT"},
        SettingsCase{"PortTooGreat", "operator-address", "10.1.2.3:65536",
                     "0 to 65535"},
        SettingsCase{"Seeds", "seeds", "10.1.2.3:1,10.1.2.4:2", ""},
        SettingsCase{"LeastBody", "body-limit-bytes", "1024", ""},
        SettingsCase{"BodyTooSmall", "body-limit-bytes", "1023",
                     "from 1024 to 1073741824"},
        SettingsCase{"BodyTooGreat", "body-limit-bytes", "1073741825",
                     "from 1024 to 1073741824"},
        SettingsCase{"NegativeBody", "answer-limit-bytes", "-1",
                     "a whole number"},
        SettingsCase{"BodyWithUnit", "answer-limit-bytes", "4MB",
                     "a whole number"},
        SettingsCase{"ReceiveLimit", "receive-limit-bytes", "16777216", ""},
        SettingsCase{"MemoryWithUnit", "memory-limit-mb", "112MB", "a number"},
        SettingsCase{"TooManyConnections", "caller-connections-limit",
                     "1000001", "from 0 to 1000000"},
        SettingsCase{"NoQueue", "queue-limit", "0", "from 1 to 1000000"},
        SettingsCase{"FractionalQueue", "queue-limit", "7.5",
                     "a whole number from 1 to 1000000"},
        SettingsCase{"FractionalGrace", "grace-ms", "1500.5", ""},
        SettingsCase{"GraceTooShort", "grace-ms", "99.9",
                     "a time from 100 to 86400000 ms"},
        SettingsCase{"NoAllowance", "retry-allowance", "0", ""},
        SettingsCase{"FractionalAllowance", "retry-allowance", "22.5", ""},
        SettingsCase{"AllowanceTooGreat", "retry-allowance", "1000001",
                     "from 0 to 1000000"},
        SettingsCase{"Placement", "placement", "cost", ""},
        SettingsCase{"UnknownPlacement", "placement", "best", "load or cost"},
        SettingsCase{"Level", "log-level", "debug", ""},
        SettingsCase{"UnknownLevel", "log-level", "loud", "debug, info"},
        SettingsCase{"NoTokenFile", "peer-token-file", "", "path"},
        SettingsCase{"DataFolder", "data-folder", "/d", ""},
        SettingsCase{"NotAMember", "control-members", "m2", ""}),
    CaseName());

struct ReceiveLimitCase {
  const char *Name_;
  const char *MemoryLimit_;
  const char *ReceiveLimit_;
  std::uint64_t Mebibytes_;
};

class ReceiveLimitTest : public testing::TestWithParam<ReceiveLimitCase> {};

// Guards against requests that may hold more memory than the process has.
TEST_P(ReceiveLimitTest, FollowsFromTheMemoryLimit) {
  SettingValues Values = validValues();
  Values["memory-limit-mb"] = GetParam().MemoryLimit_;
  Values["receive-limit-bytes"] = GetParam().ReceiveLimit_;
  EXPECT_EQ(Settings::create(Values).takeValue().ReceiveLimit_,
            ByteCount(GetParam().Mebibytes_ * 1024 * 1024));
}

INSTANTIATE_TEST_SUITE_P(
    Values, ReceiveLimitTest,
    testing::Values(ReceiveLimitCase{"None", "", "", 128},
                    ReceiveLimitCase{"Small", "112", "", 68},
                    ReceiveLimitCase{"Least", "40", "", 16},
                    ReceiveLimitCase{"Explicit", "112", "2097152", 2}),
    CaseName());

// Guards against a daemon that has a data folder but is missing from the list
// of control members, so that the other members do not know it.
TEST(SettingsTest, RejectsADataFolderForAnUnlistedControlMember) {
  SettingValues Values = validValues();
  Values["data-folder"] = "/d";
  Values["control-members"] = "m2";
  auto Parsed = Settings::create(Values);
  ASSERT_FALSE(Parsed);
  EXPECT_EQ(Parsed.error().Field_, "control-members");
  Values["control-members"] = "m1,m1";
  EXPECT_FALSE(Settings::create(Values));
}

// Guards against a grace period that depends on the order of the flags.
TEST(SettingsTest, RejectsAGracePeriodInTwoUnits) {
  SettingValues Values = validValues();
  Values["grace-ms"] = "6000";
  EXPECT_EQ(Settings::create(Values).takeValue().ShutdownGracePeriod_, 6s);
  Values["grace-s"] = "6.5";
  EXPECT_FALSE(Settings::create(Values));
  Values.erase("grace-ms");
  EXPECT_EQ(Settings::create(Values).takeValue().ShutdownGracePeriod_, 6500ms);
}

// Guards against lists that are parsed incorrectly and missing defaults.
TEST(SettingsTest, ReadsListsAndAppliesDefaults) {
  Settings Parsed = Settings::create(validValues()).takeValue();
  ASSERT_EQ(Parsed.ControlMembers_.size(), 2);
  EXPECT_EQ(Parsed.ControlMembers_[1], MemberId("m2"));
  EXPECT_EQ(Parsed.AdvertisedPeerAddress_, Parsed.PeerAddress_);
  EXPECT_EQ(Parsed.BodyLimit_, ByteCount(1048576));
  EXPECT_FALSE(Parsed.DataFolder_);
}

// Guards against environment variables that override flags or are ignored.
TEST(SettingsTest, PrefersFlagsToEnvironmentVariables) {
  SettingValues Values = validValues();
  Values.erase("member-id");
  for (const auto &[Flag, Value] : Values)
    setenv(environmentVariableName(Flag).c_str(), Value.c_str(), 1);
  setenv("JAYBRIDGE_MEMBER_ID", "from-environment", 1);
  setenv("JAYBRIDGE_QUEUE_LIMIT", "7", 1);
  std::string Program = "jaybridged";
  std::string MemberIdFlag = "--member-id=from-flag";
  char *Arguments[] = {Program.data(), MemberIdFlag.data(), nullptr};
  auto Parsed = readSettings(2, Arguments);
  ASSERT_TRUE(Parsed) << Parsed.error().Message_;
  EXPECT_EQ(Parsed.value().Member_, MemberId("from-flag"));
  EXPECT_EQ(Parsed.value().QueueLimit_, QueueLimit(7));
  EXPECT_EQ(Parsed.value().Domain_, FailureDomain("yoff"));
}

} // namespace
} // namespace jaybridge
