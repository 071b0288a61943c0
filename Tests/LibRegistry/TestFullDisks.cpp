#include "RegistryFleet.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

struct FullDiskCase {
  const char *Name_;
  /// Content that a second operator sends under the version of the first.
  std::optional<std::string> OtherService_;
};

class FullDisksTest : public testing::TestWithParam<FullDiskCase> {
protected:
  static constexpr std::size_t MemberCount = 5;
  static constexpr Duration FullTime = 3s;
  static constexpr Duration RecoveryTime = 2s;

  /// Sends the change of the present version until it is acknowledged.
  void sendChange() {
    const std::size_t Leader = Fleet_.leader();
    if (Leader == MemberCount)
      return;
    if (GetParam().OtherService_)
      Fleet_.writeDocument(Leader, Version_,
                           RegistryFleet::routes(*GetParam().OtherService_));
    Sent_.push_back(Fleet_.writeDocument(
        Leader, Version_,
        RegistryFleet::routes("v" + std::to_string(Version_))));
  }
  void sendChangesFor(Duration Time) {
    for (Duration Passed{}; Passed < Time; Passed += RegistryFleet::TimeStep) {
      Fleet_.run(RegistryFleet::TimeStep);
      for (ControlRequestId Request : Sent_)
        if (Fleet_.hasAnswer<Acknowledged>(Request)) {
          ++Version_;
          Sent_.clear();
          break;
        }
      sendChange();
    }
  }

  RegistryFleet Fleet_{MemberCount, 2};
  std::uint64_t Version_ = 2;
  std::vector<ControlRequestId> Sent_;
};

// Guards against a control group that refuses changes, or leaves them without
// an answer, for good after the disks of its members were full one after the
// other.
TEST_P(FullDisksTest, AreFollowedByAcknowledgedChanges) {
  Fleet_.run(8s);
  ASSERT_LT(Fleet_.leader(), MemberCount);
  sendChangesFor(1s);
  for (std::size_t Round = 0; Round < 2 * MemberCount; ++Round) {
    // Each leader in turn, and the other members.
    const std::size_t Full = Round % 2 == 0 && Fleet_.leader() < MemberCount
                                 ? Fleet_.leader()
                                 : Round % MemberCount;
    Fleet_.setDiskFull(Full, true);
    sendChangesFor(FullTime);
    Fleet_.setDiskFull(Full, false);
    sendChangesFor(RecoveryTime);
  }
  const std::uint64_t Last = Version_;
  sendChangesFor(2s);
  EXPECT_GT(Version_, Last) << "no change was acknowledged any more";
  ASSERT_LT(Fleet_.leader(), MemberCount);
  const std::string Text = RegistryFleet::routes("last");
  auto Changed = Fleet_.writeDocument(Fleet_.leader(), Version_ + 1, Text);
  Fleet_.run(500ms);
  EXPECT_TRUE(Fleet_.hasAnswer<Acknowledged>(Changed));
  auto Read = Fleet_.readDocument(Fleet_.leader());
  Fleet_.run(500ms);
  ASSERT_TRUE(Fleet_.hasAnswer<StoredDocument>(Read));
  EXPECT_EQ(std::get<StoredDocument>(*Fleet_.answer(Read)).Text_,
            std::to_string(Version_ + 1) + Text);
}

INSTANTIATE_TEST_SUITE_P(
    Operators, FullDisksTest,
    testing::Values(FullDiskCase{"One", std::nullopt},
                    FullDiskCase{"TwoWithShorterContent", "x"},
                    FullDiskCase{"TwoWithLongerContent", "a-longer-name"}),
    CaseName());

} // namespace
} // namespace jaybridge
