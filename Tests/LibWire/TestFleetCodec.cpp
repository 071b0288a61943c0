#include <LibCore/Random.h>
#include <LibWire/DirectoryCodec.h>
#include <LibWire/LeaseCodec.h>
#include <LibWire/MembershipCodec.h>
#include <Support/CaseName.h>
#include <Support/DirectoryFleet.h>

#include <functional>

namespace jaybridge {
namespace {

/// Encodes what was decoded; none when the bytes are refused.
using Again = std::function<std::optional<std::string>(const std::string &)>;

template <auto Decode, auto Encode>
std::optional<std::string> again(const std::string &Bytes) {
  auto Decoded = Decode(Bytes);
  if (!Decoded)
    return std::nullopt;
  return Encode(Decoded.value());
}

struct CodecCase {
  std::string Name_;
  std::string Bytes_;
  Again Again_;
};

const Again Membership1 = again<decodeMembership, encodeMembership>;
const Again Directory1 = again<decodeDirectory, encodeDirectory>;
const Again Spread1 = again<decodeSpread, encodeSpread>;
const Again Lease1 = again<decodeLease, encodeLease>;

std::vector<CodecCase> cases() {
  MemberUpdates Members{memberRecordFor(1), memberRecordFor(2, 7)};
  Members[1].State_ = MemberState::Suspect;
  MemberBucket Bucket{BucketCount(5), BucketIndex(4)};
  std::vector<MembershipMessage> Fleet{
      Ping{ProbeNumber(3), Bucket, BucketHash(9), Members},
      PingAnswer{ProbeNumber(3), Members},
      IndirectPing{ProbeNumber(4), memberIdFor(5), Members},
      IndirectAnswer{ProbeNumber(4), true, {}},
      MembersWanted{memberRecordFor(3), memberIdFor(2)},
      MembersPage{Members, false},
      BucketRecords{Bucket, true, Members}};
  RecordExchange Exchange{{instanceRecordFor(1), instanceRecordFor(2, 8)},
                          {RecordKey(5), RecordKey(6)},
                          true};
  std::vector<RecordMark> Marks{{RecordKey(1), RecordDigest(2)},
                                {RecordKey(3), RecordDigest(4)}};
  std::vector<DirectoryMessage> Directory{
      Exchange,
      DirectoryDigest{DigestRound(1), RecordDigest(2), Marks},
      DirectoryDigestAnswer{DigestRound(1), RecordDigest(3), Exchange},
      GroupDigests{{RecordDigest(1), RecordDigest(2)}},
      LeafDigests{GroupIndex(7), {RecordDigest(1)}},
      RangeMarks{LeafIndex(1), LeafIndex(2), Marks},
      RecordsWanted{std::nullopt},
      RecordsWanted{RecordKey(5)},
      RecordsPage{Exchange.Records_, false},
      LeaseRenewals{{RecordKey(1), RecordKey(2)}},
      LapseQuestion{RecordKey(5)},
      LapseAnswer{RecordKey(5), true},
      LoadHint{InstanceId("a"), ServiceName("b"), SlotCount(3)}};
  ConfigurationVersion Version(12);
  std::vector<SpreadMessage> Spread{
      VersionGossip{Version, true, {{memberIdFor(1), Version}}},
      EntriesWanted{Version},
      EntriesPart{Version, {ConfigurationBytes("one"), ConfigurationBytes()}},
      SnapshotWanted{Version, SnapshotHash(4), ByteCount(5)},
      SnapshotPart{Version, SnapshotHash(4), ByteCount(5), ByteCount(6),
                   ConfigurationBytes("x")}};
  std::vector<LeaseClaim> Claims{{ServiceName("a"), FenceNumber(3)},
                                 {ServiceName("b"), FenceNumber(4)}};
  std::vector<LeaseMessage> Lease{
      LeaseRenewal{LeaseRound(1), HeldDigest(2)},
      LeaseRequest{LeaseRound(1), Claims, Claims}, LeaseRelease{Claims},
      LeaseAnswer{LeaseRound(1), FenceNumber(9), true, {ServiceName("a")}}};
  std::vector<CodecCase> Cases;
  auto Add = [&](const char *Name, const auto &Messages, auto Encode,
                 const Again &Through) {
    for (std::size_t I = 0; I < Messages.size(); ++I)
      Cases.push_back({Name + std::to_string(I), Encode(Messages[I]), Through});
  };
  Add("Membership", Fleet, encodeMembership, Membership1);
  Add("Directory", Directory, encodeDirectory, Directory1);
  Add("Spread", Spread, encodeSpread, Spread1);
  Add("Lease", Lease, encodeLease, Lease1);
  return Cases;
}

class FleetCodecTest : public testing::TestWithParam<CodecCase> {};

// Guards against a field that a codec leaves out, or confuses with another
// message: the bytes of two messages differ.
TEST_P(FleetCodecTest, EncodesAgainWhatItDecoded) {
  EXPECT_EQ(GetParam().Again_(GetParam().Bytes_), GetParam().Bytes_);
  std::size_t Same = 0;
  for (const CodecCase &Other : cases())
    Same += Other.Bytes_ == GetParam().Bytes_ &&
                    Other.Name_[0] == GetParam().Name_[0]
                ? 1
                : 0;
  EXPECT_EQ(Same, 1U);
}

// Guards against a damaged message that stops the daemon.
TEST_P(FleetCodecTest, SurvivesDamage) {
  Random Numbers{RandomSeed(11)};
  EXPECT_FALSE(GetParam().Again_(""));
  for (std::size_t Length = 0; Length < GetParam().Bytes_.size(); ++Length)
    GetParam().Again_(GetParam().Bytes_.substr(0, Length));
  for (int Round = 0; Round < 500; ++Round) {
    std::string Bytes = GetParam().Bytes_;
    char &Changed = Bytes[Numbers.below(Bytes.size())];
    Changed = static_cast<char>(Changed ^ (1U << Numbers.below(8)));
    GetParam().Again_(Bytes);
  }
}

INSTANTIATE_TEST_SUITE_P(Messages, FleetCodecTest, testing::ValuesIn(cases()),
                         CaseName());

struct RefusedCase {
  const char *Name_;
  std::string Bytes_;
  Again Again_;
};

class RefusedMessageTest : public testing::TestWithParam<RefusedCase> {};

// Guards against values that no codec writes but that Cap'n Proto accepts.
TEST_P(RefusedMessageTest, IsAnError) {
  EXPECT_FALSE(GetParam().Again_(GetParam().Bytes_));
}

template <typename Record, typename State> Record withState(Record Changed) {
  Changed.State_ = static_cast<State>(9);
  return Changed;
}

INSTANTIATE_TEST_SUITE_P(
    Values, RefusedMessageTest,
    testing::Values(
        RefusedCase{
            "MemberState",
            encodeMembership(PingAnswer{
                {},
                {withState<MemberRecord, MemberState>(memberRecordFor(1))}}),
            Membership1},
        RefusedCase{"BucketBeyondTheLast",
                    encodeMembership(Ping{
                        {}, {BucketCount(2), BucketIndex(2)}, {}, {}}),
                    Membership1},
        RefusedCase{"InstanceState",
                    encodeDirectory(RecordsPage{
                        {withState<InstanceRecord, InstanceState>(
                            instanceRecordFor(1))},
                        true}),
                    Directory1},
        RefusedCase{"NoAddress",
                    encodeDirectory(RecordsPage{{InstanceRecord{}}, true}),
                    Directory1}),
    CaseName());

} // namespace
} // namespace jaybridge
