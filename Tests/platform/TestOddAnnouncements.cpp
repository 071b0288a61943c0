#include "DutyFleet.h"

#include <Platform/InstanceAnnouncement.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

/// Text of an announcement with fields that replace or follow the usual ones.
std::string announcementWith(const std::string &Address,
                             const std::string &Fields) {
  return R"({"Service":"service","Address":")" + Address +
         R"(","Zone":"d","Version":"v1","State":"ready","WarmupLeftS":0,)"
         R"("Seq":1,)" +
         Fields + "}";
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

constexpr const char *SoundFields = R"("Slots":4,"born":1700000000000)";
/// Replaced by the address of a sound instance.
constexpr const char *AddressInUse = "ADDRESS-IN-USE";

struct OddCase {
  const char *Name_;
  std::string Text_;
};

const OddCase OddCases[] = {
    {"Nested",
     announcementWith("127.4.9.1:80", std::string(SoundFields) + R"(,"More":)" +
                                          nested(100'000))},
    {"NestedWithoutEnd", std::string(1'000'000, '[')},
    {"NestedSlots",
     announcementWith("127.4.9.1:80", R"("Slots":)" + nested(100'000) +
                                          R"(,"born":1700000000000)")},
    {"SlotsAboveDouble",
     announcementWith("127.4.9.1:80", R"("Slots":1e400,"born":1700000000000)")},
    {"SlotsAbove64Bits",
     announcementWith("127.4.9.1:80",
                      R"("Slots":99999999999999999999,"born":1700000000000)")},
    {"StartAbove64Bits",
     announcementWith("127.4.9.1:80",
                      R"("Slots":4,"born":18446744073709551616)")},
    {"StartInTheFarFuture",
     announcementWith(AddressInUse,
                      R"("Slots":4,"born":18446744073709551615)")},
    {"StartBelowZero",
     announcementWith("127.4.9.1:80", R"("Slots":4,"born":-1)")},
    {"PortAboveTheRange", announcementWith("127.4.9.1:65536", SoundFields)},
    {"PortAbove64Bits",
     announcementWith("127.4.9.1:99999999999999999999", SoundFields)},
    {"PortZero", announcementWith("127.4.9.1:0", SoundFields)},
    {"PortBelowZero", announcementWith("127.4.9.1:-80", SoundFields)},
    {"ServiceTooLong",
     R"({"Service":")" + std::string(1'000'000, 's') +
         R"(","Address":"127.4.9.1:80","Zone":"d","State":"ready",)" +
         SoundFields + "}"},
    {"DomainTooLong",
     R"({"Service":"service","Address":"127.4.9.1:80","Zone":")" +
         std::string(1'000'000, 'z') + R"(","State":"ready",)" + SoundFields +
         "}"},
};

class OddAnnouncementTest : public testing::TestWithParam<OddCase> {};

// Guards against an entry of another writer that is stored although it names no
// instance that could be used.
TEST_P(OddAnnouncementTest, IsRefused) {
  std::string Text = GetParam().Text_;
  if (auto Found = Text.find(AddressInUse); Found != std::string::npos)
    Text.replace(Found, std::string(AddressInUse).size(), "127.4.9.2:80");
  auto Read = platform::readAnnouncement("odd", Text);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Code_, ErrorCode::Invalid);
  EXPECT_LT(Read.error().Message_.size(), 1000U);
  EXPECT_TRUE(platform::readAnnouncement(
      "sound", announcementWith("127.4.9.1:80", SoundFields)));
}

INSTANTIATE_TEST_SUITE_P(Entries, OddAnnouncementTest,
                         testing::ValuesIn(OddCases), CaseName());

InstanceReply answerSoundly(const InstanceRequest &Received) {
  return WriteBytes{signedResponse(Received, "sound")};
}

// Guards against control members and gateways that end, or that no longer
// follow the list of instances, after an odd entry.
TEST(OddAnnouncementsTest, LeaveTheFleetFollowingTheInstances) {
  constexpr std::size_t GatewayCount = 3;
  DutyFleet Fleet(GatewayCount);
  ASSERT_TRUE(Fleet.start());
  Fleet.addInstances(1, answerSoundly);
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  for (const OddCase &Odd : OddCases) {
    std::string Text = Odd.Text_;
    if (auto Found = Text.find(AddressInUse); Found != std::string::npos)
      Text.replace(Found, std::string(AddressInUse).size(),
                   Fleet.instance(0).address().text());
    EXPECT_EQ(Fleet.announce(std::string("odd-") + Odd.Name_, Text), 400U)
        << Odd.Name_;
    EXPECT_EQ(Fleet.endedProcesses(), 0U) << Odd.Name_;
  }
  // Each gateway learns that the instance restarts under a new id.
  Fleet.instance(0).end();
  EXPECT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  EXPECT_EQ(Fleet.endedProcesses(), 0U);
}

} // namespace
} // namespace jaybridge
