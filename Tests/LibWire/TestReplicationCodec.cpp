#include <LibWire/ConfigurationCodec.h>
#include <LibWire/ReplicationCodec.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

Voter voter(const std::string &Id, std::uint64_t Generation) {
  return Voter{MemberId(Id), FolderGeneration(Generation)};
}

VoterSet voters() {
  return VoterSet{{voter("a", 1), voter("b", 2)},
                  Replacement{voter("c", 3), voter("a", 1)}};
}

std::vector<LogEntry> entries() {
  return {{LogIndex(7), Term(2), LeaderStarted{}},
          {LogIndex(8), Term(2), LogCommand{std::string("\0\xff x", 4)}},
          {LogIndex(9), Term(3), voters()}};
}

struct MessageCase {
  const char *Name_;
  ReplicationBody Body_;
};

class ReplicationCodecTest : public testing::TestWithParam<MessageCase> {
protected:
  ReplicationMessage message() const {
    return ReplicationMessage{voter("a", ~0ULL), Term(4), GetParam().Body_};
  }
};

// Guards against a field that is lost or changed between two members.
TEST_P(ReplicationCodecTest, RoundTrips) {
  auto Decoded = decodeReplicationMessage(encodeReplicationMessage(message()));
  ASSERT_TRUE(Decoded) << Decoded.error().Message_;
  EXPECT_EQ(Decoded.value(), message());
}

// Guards against a damaged message that is processed or crashes the daemon.
TEST_P(ReplicationCodecTest, RejectsDamagedMessages) {
  std::string Encoded = encodeReplicationMessage(message());
  for (std::size_t I = 0; I < Encoded.size(); ++I) {
    std::string Flipped = Encoded;
    Flipped[I] = static_cast<char>(Flipped[I] ^ (1 << (I % 8)));
    EXPECT_FALSE(decodeReplicationMessage(Flipped)) << "bit in byte " << I;
    EXPECT_FALSE(decodeReplicationMessage(Encoded.substr(0, I)));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, ReplicationCodecTest,
    testing::Values(
        MessageCase{"VoteRequest", VoteRequest{true, LogIndex(5), Term(3)}},
        MessageCase{"VoteAnswer", VoteAnswer{false, true, Term(5)}},
        MessageCase{"AppendRequest",
                    AppendRequest{LogIndex(6), Term(2), entries(), LogIndex(5),
                                  ReplicationRound(11)}},
        MessageCase{"AppendAnswer",
                    AppendAnswer{true, LogIndex(9), ReplicationRound(11)}},
        MessageCase{"SnapshotRequest",
                    SnapshotRequest{LogIndex(9), Term(3), voters(),
                                    SnapshotOffset(64), ByteCount(100), "piece",
                                    ReplicationRound(12)}},
        MessageCase{"SnapshotAnswer",
                    SnapshotAnswer{LogIndex(9), SnapshotOffset(69),
                                   ReplicationRound(12)}},
        MessageCase{"JoinRequest", JoinRequest{true}},
        MessageCase{"FormationOffer", FormationOffer{entries()[2]}},
        MessageCase{"FolderOutdated", FolderOutdated{}}),
    CaseName());

struct LogWriteCase {
  const char *Name_;
  PersistLog Write_;
};

class PersistLogCodecTest : public testing::TestWithParam<LogWriteCase> {};

// Guards against a vote, snapshot or entry that is lost in a restart.
TEST_P(PersistLogCodecTest, RoundTrips) {
  const PersistLog &Write = GetParam().Write_;
  auto Decoded = decodePersistLog(encodePersistLog(Write));
  ASSERT_TRUE(Decoded) << Decoded.error().Message_;
  EXPECT_EQ(Decoded.value().Vote_, Write.Vote_);
  EXPECT_EQ(Decoded.value().Snapshot_, Write.Snapshot_);
  EXPECT_EQ(Decoded.value().Entries_, Write.Entries_);
}

INSTANTIATE_TEST_SUITE_P(
    Writes, PersistLogCodecTest,
    testing::Values(LogWriteCase{"Nothing", {}},
                    LogWriteCase{"Term", {{}, TermVote{Term(3), {}}, {}, {}}},
                    LogWriteCase{
                        "Vote", {{}, TermVote{Term(3), voter("b", 2)}, {}, {}}},
                    LogWriteCase{"Entries", {{}, {}, {}, entries()}},
                    LogWriteCase{"Snapshot",
                                 {{},
                                  TermVote{Term(3), {}},
                                  LogSnapshot{LogIndex(7), Term(2), voters(),
                                              std::string(100000, '\x01')},
                                  entries()}}),
    CaseName());

ProfileDraft draft() {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("reads");
  Draft.Repeatability_ = Repeatability::Repeatable;
  Draft.Patience_ = std::chrono::milliseconds(1500);
  Draft.Floor_ = Percentage(60);
  Draft.Weight_ = ClassWeight(7);
  Draft.RetryBudget_ = Percentage(20);
  Draft.IsHedgingAllowed_ = true;
  Draft.FalseEjectionRate_ = ErrorRate(1e-5);
  Draft.MissedDetectionRate_ = ErrorRate(0.125);
  return Draft;
}

ConfigurationChange change(std::uint64_t BasedOn, ConfigurationAction Action) {
  return ConfigurationChange{
      ChangeRequestId("id-" + std::to_string(BasedOn)),
      ConfigurationVersion(BasedOn), OperatorName("Thi\xc3\xa8s"),
      WallTime(std::chrono::milliseconds(1234)), std::move(Action)};
}

std::vector<ConfigurationChange> changes() {
  return {change(0, CreateProfile{draft()}), change(1, UpdateProfile{draft()}),
          change(2, AssignService{ServiceName("tarifs"), ProfileName("reads")}),
          change(9, UpdateProfile{draft()})};
}

class ChangeCodecTest : public testing::TestWithParam<std::size_t> {};

// Guards against a change that takes effect with values other than the accepted
// ones, and against damaged changes that are processed.
TEST_P(ChangeCodecTest, RoundTripsAndRejectsDamage) {
  ConfigurationChange Change = changes()[GetParam()];
  std::string Encoded = encodeConfigurationChange(Change);
  auto Decoded = decodeConfigurationChange(Encoded);
  ASSERT_TRUE(Decoded) << Decoded.error().Message_;
  EXPECT_EQ(Decoded.value(), Change);
  for (std::size_t I = 0; I < Encoded.size(); ++I)
    EXPECT_FALSE(decodeConfigurationChange(Encoded.substr(0, I)));
  Encoded[Encoded.size() / 2] ^= 1;
  EXPECT_FALSE(decodeConfigurationChange(Encoded));
}

INSTANTIATE_TEST_SUITE_P(Changes, ChangeCodecTest, testing::Values(0, 1, 2, 3));

// Guards against a catalog that a snapshot changes.
TEST(ConfigurationSnapshotCodec, RoundTripsTheCatalog) {
  ConfigurationCatalog Catalog;
  for (const ConfigurationChange &Change : changes())
    (void)Catalog.apply(Change);
  auto Decoded = decodeConfigurationSnapshot(
      encodeConfigurationSnapshot(Catalog.snapshot()));
  ASSERT_TRUE(Decoded) << Decoded.error().Message_;
  EXPECT_EQ(Decoded.value(), Catalog.snapshot());
  EXPECT_EQ(Decoded.value().Refused_.size(), 1U);
}

} // namespace
} // namespace jaybridge
