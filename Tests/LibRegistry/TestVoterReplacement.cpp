#include "RegistryFleet.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

enum class JoinerFate { LosesItsFolder, NeverReturns, ReturnsLate };

struct JoinerCase {
  const char *Name_;
  JoinerFate Fate_;
};

class LostJoinerTest : public testing::TestWithParam<JoinerCase> {
protected:
  static constexpr std::size_t MemberCount = 5;
  static constexpr Duration CatchUpTime = 4s;
  static constexpr Duration DownTime = 1300ms;

  void SetUp() override {
    Fleet_.run(10s);
    ASSERT_LT(Fleet_.leader(), MemberCount);
    ASSERT_EQ(Fleet_.voterCount(), MemberCount);
  }
  /// The member restarts with an empty folder.
  void restartWithoutFolder(std::size_t Index) {
    Fleet_.stopMember(Index);
    Fleet_.loseFolder(Index);
    Fleet_.run(DownTime);
    Fleet_.startMember(Index);
  }
  bool acceptsChanges() {
    if (Fleet_.leader() >= MemberCount + 1)
      return false;
    auto Change = Fleet_.writeDocument(Fleet_.leader(), ++Version_,
                                       " a.example s\n b.example t\n");
    Fleet_.run(500ms);
    return Fleet_.hasAnswer<Acknowledged>(Change);
  }

  RegistryFleet Fleet_{MemberCount, 1};
  std::uint64_t Version_ = 1;
};

// Guards against a replacement that waits for a joining member which lost its
// folder or is gone, and holds up all others: the members that lose their
// folders one after the other meanwhile are not replaced, until no majority is
// left.
TEST_P(LostJoinerTest, DoesNotHoldUpOtherReplacements) {
  const std::size_t Joiner = Fleet_.addMember();
  Fleet_.startMember(Joiner);
  // The leader proposes it 3 s after its first request, at which time it is
  // down.
  Fleet_.run(2200ms);
  if (GetParam().Fate_ == JoinerFate::LosesItsFolder) {
    restartWithoutFolder(Joiner);
  } else {
    Fleet_.stopMember(Joiner);
    Fleet_.run(DownTime);
  }
  for (std::size_t Lost : {std::size_t(3), std::size_t(2), std::size_t(1)}) {
    Fleet_.run(CatchUpTime);
    restartWithoutFolder(Lost);
    if (Lost == 2 && GetParam().Fate_ == JoinerFate::ReturnsLate)
      Fleet_.startMember(Joiner);
  }
  Fleet_.run(2 * CatchUpTime);
  EXPECT_TRUE(acceptsChanges());
  for (std::size_t Index : {1, 2, 3})
    EXPECT_TRUE(Fleet_.control(Index)->log().isVoter()) << "member " << Index;
  if (GetParam().Fate_ != JoinerFate::NeverReturns) {
    EXPECT_TRUE(Fleet_.control(Joiner)->log().isVoter());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fates, LostJoinerTest,
    testing::Values(JoinerCase{"LosesItsFolder", JoinerFate::LosesItsFolder},
                    JoinerCase{"NeverReturns", JoinerFate::NeverReturns},
                    JoinerCase{"ReturnsLate", JoinerFate::ReturnsLate}),
    CaseName());

struct AbsenceCase {
  const char *Name_;
  /// The member was a voter before it was cut off; otherwise it was joining.
  bool IsVoter_;
};

class AbsentMemberTest : public testing::TestWithParam<AbsenceCase> {};

// Guards against a member that was replaced, or whose replacement was
// abandoned, while it was cut off: its own log says that it takes part, so that
// it never asks to join again.
TEST_P(AbsentMemberTest, JoinsAgainWhenItIsBack) {
  constexpr std::size_t MemberCount = 5;
  RegistryFleet Fleet(MemberCount, 1);
  Fleet.run(10s);
  ASSERT_LT(Fleet.leader(), MemberCount);
  const std::size_t Added = Fleet.addMember();
  const std::size_t Absent =
      GetParam().IsVoter_ ? (Fleet.leader() + 1) % MemberCount : Added;
  auto CutOff = [&](bool IsCut) {
    for (std::size_t Other = 0; Other <= MemberCount; ++Other)
      if (Other != Absent)
        Fleet.setPartitioned(RegistryFleet::member(Absent),
                             RegistryFleet::member(Other), IsCut);
  };
  if (GetParam().IsVoter_) {
    CutOff(true);
    Fleet.run(3s);
    Fleet.startMember(Added);
  } else {
    Fleet.startMember(Added);
    // The joining member is cut off once the replacement is in its log.
    while (!Fleet.control(Added)->log().members().Replacement_)
      Fleet.run(RegistryFleet::TimeStep);
    CutOff(true);
  }
  Fleet.run(8s);
  CutOff(false);
  Fleet.run(8s);
  ASSERT_LT(Fleet.leader(), MemberCount + 1);
  EXPECT_TRUE(Fleet.control(Absent)->log().isVoter());
  EXPECT_TRUE(Fleet.control(Fleet.leader())
                  ->log()
                  .members()
                  .findVoter(RegistryFleet::member(Absent)));
}

INSTANTIATE_TEST_SUITE_P(Roles, AbsentMemberTest,
                         testing::Values(AbsenceCase{"Voter", true},
                                         AbsenceCase{"Joining", false}),
                         CaseName());

} // namespace
} // namespace jaybridge
