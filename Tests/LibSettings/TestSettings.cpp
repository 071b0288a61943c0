#include <LibSettings/Settings.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <cstdlib>

namespace jaybridge {
namespace {

SettingValues validText() {
  return {{"member-id", "m1"},          {"failure-domain", "yoff"},
          {"operator-token-file", "o"}, {"announce-token-file", "a"},
          {"peer-token-file", "p"},     {"peer-address", "127.0.0.1:0"},
          {"control-members", "m1,m2"}};
}

struct SettingsCase {
  const char *Name_;
  const char *Flag_;
  std::string Value_;
  /// Empty when the settings are valid; otherwise a part of the message.
  const char *Message_;
};

class SettingsTest : public testing::TestWithParam<SettingsCase> {};

// Guards against a daemon that starts with settings it cannot follow, and
// against errors that leave the operator guessing.
TEST_P(SettingsTest, IsCheckedWithAClearMessage) {
  SettingValues Text = validText();
  Text[GetParam().Flag_] = GetParam().Value_;
  auto Read = Settings::create(Text);
  EXPECT_EQ(Read.hasValue(), std::string(GetParam().Message_).empty());
  if (Read)
    return;
  EXPECT_EQ(Read.error().Field_, GetParam().Flag_);
  for (const std::string &Part :
       {std::string("--") + GetParam().Flag_, "'" + GetParam().Value_ + "'",
        std::string(GetParam().Message_)})
    EXPECT_NE(Read.error().Message_.find(Part), std::string::npos)
        << Read.error().Message_;
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
        SettingsCase{"NoQueue", "queue-limit", "0", "from 1 to 1000000"},
        SettingsCase{"Level", "log-level", "debug", ""},
        SettingsCase{"UnknownLevel", "log-level", "loud", "debug, info"},
        SettingsCase{"NoTokenFile", "peer-token-file", "", "path"},
        SettingsCase{"DataFolder", "data-folder", "/d", ""},
        SettingsCase{"NotAMember", "control-members", "m2", ""}),
    CaseName());

// Guards against a control member that the others do not know.
TEST(SettingsTest, RefusesADataFolderForAnUnlistedMember) {
  SettingValues Text = validText();
  Text["data-folder"] = "/d";
  Text["control-members"] = "m2";
  auto Read = Settings::create(Text);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Field_, "control-members");
  Text["control-members"] = "m1,m1";
  EXPECT_FALSE(Settings::create(Text));
}

// Guards against defaults and lists that are read wrongly.
TEST(SettingsTest, ReadsListsAndDefaults) {
  Settings Read = Settings::create(validText()).takeValue();
  ASSERT_EQ(Read.ControlMembers_.size(), 2);
  EXPECT_EQ(Read.ControlMembers_[1], MemberId("m2"));
  EXPECT_EQ(Read.AdvertisedPeerAddress_, Read.PeerAddress_);
  EXPECT_EQ(Read.BodyLimit_, ByteCount(1048576));
  EXPECT_FALSE(Read.DataFolder_);
}

// Guards against variables that override flags, or are not read at all.
TEST(SettingsTest, ReadsFlagsBeforeTheEnvironment) {
  SettingValues Text = validText();
  Text.erase("member-id");
  for (const auto &[Flag, Value] : Text)
    setenv(environmentVariableName(Flag).c_str(), Value.c_str(), 1);
  setenv("JAYBRIDGE_MEMBER_ID", "from-environment", 1);
  setenv("JAYBRIDGE_QUEUE_LIMIT", "7", 1);
  std::string Program = "jaybridged";
  std::string Given = "--member-id=from-flag";
  char *Arguments[] = {Program.data(), Given.data(), nullptr};
  auto Read = readSettings(2, Arguments);
  ASSERT_TRUE(Read) << Read.error().Message_;
  EXPECT_EQ(Read.value().Member_, MemberId("from-flag"));
  EXPECT_EQ(Read.value().QueueLimit_, QueueLimit(7));
  EXPECT_EQ(Read.value().Domain_, FailureDomain("yoff"));
}

} // namespace
} // namespace jaybridge
