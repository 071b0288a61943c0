#include <Platform/InstanceAnnouncement.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct AnnouncementCase {
  const char *Name_;
  const char *Text_;
  bool IsValid_;
};

class AnnouncementValidityTest
    : public testing::TestWithParam<AnnouncementCase> {};

// Guards against an incomplete or malformed heartbeat that registers an
// instance.
TEST_P(AnnouncementValidityTest, AcceptsOnlyValidBodies) {
  EXPECT_EQ(platform::readAnnouncement("i-1", GetParam().Text_).hasValue(),
            GetParam().IsValid_);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, AnnouncementValidityTest,
    testing::Values(
        AnnouncementCase{
            "Whole",
            R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":3,)"
            R"("State":"ready","Seq":4,"born":1700000000000})",
            true},
        AnnouncementCase{"Garbage", "\x01\x02", false},
        AnnouncementCase{"Empty", "", false},
        AnnouncementCase{
            "UnknownState",
            R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":3,)"
            R"("State":"asleep","born":1})",
            false},
        AnnouncementCase{
            "StateOfAnotherType",
            R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":3,)"
            R"("State":1,"born":1})",
            false},
        AnnouncementCase{
            "NoService",
            R"({"Address":"10.0.0.9:80","Zone":"z","Slots":3,"State":"ready"})",
            false},
        AnnouncementCase{
            "NoAddress",
            R"({"Service":"s","Zone":"z","Slots":3,"State":"ready"})", false},
        AnnouncementCase{
            "AddressIsAName",
            R"({"Service":"s","Address":"x:80","Zone":"z","Slots":3,)"
            R"("State":"ready"})",
            false},
        AnnouncementCase{
            "SlotsAreAText",
            R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":"3",)"
            R"("State":"ready"})",
            false},
        AnnouncementCase{
            "BornIsAFraction",
            R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":3,)"
            R"("State":"ready","born":1.5})",
            false}),
    CaseName());

// Guards against fields that are lost or mixed up, in particular a start time
// that makes a restarted instance look like its previous incarnation.
TEST(AnnouncementFieldsTest, AreRead) {
  auto Read = platform::readAnnouncement(
      "i-1", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":3,)"
             R"("State":"draining","born":17})");
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value(),
            (InstanceRecord{InstanceId("i-1"), ServiceName("s"),
                            Endpoint::create("10.0.0.9:80").takeValue(),
                            FailureDomain("z"), SlotCount(3),
                            InstanceState::Draining, Incarnation(17)}));
  EXPECT_EQ(platform::readDepartedIncarnation(R"({"born":17})"),
            Incarnation(17));
  EXPECT_EQ(platform::readDepartedIncarnation(""), std::nullopt);
}

} // namespace
} // namespace jaybridge
