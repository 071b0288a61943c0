#include <LibCore/Random.h>
#include <LibWire/DirectoryCodec.h>
#include <LibWire/LeaseCodec.h>
#include <LibWire/MembershipCodec.h>
#include <Support/CaseName.h>
#include <Support/DirectoryFleet.h>

#include <functional>

namespace jaybridge {
namespace {

/// Decodes bytes and encodes the message again; none when the bytes are
/// rejected.
using Reencoder =
    std::function<std::optional<std::string>(const std::string &)>;

template <auto Decode, auto Encode>
std::optional<std::string> reencode(const std::string &Bytes) {
  auto Decoded = Decode(Bytes);
  if (!Decoded)
    return std::nullopt;
  return Encode(Decoded.value());
}

struct CodecCase {
  std::string Name_;
  std::string Bytes_;
  Reencoder Reencode_;
};

const Reencoder ReencodeMembership =
    reencode<decodeMembershipMessage, encodeMembershipMessage>;
const Reencoder ReencodeDirectory =
    reencode<decodeDirectoryMessage, encodeDirectoryMessage>;
const Reencoder ReencodeDistribution =
    reencode<decodeDistributionMessage, encodeDistributionMessage>;
const Reencoder ReencodeLease =
    reencode<decodeLeaseMessage, encodeLeaseMessage>;

std::vector<CodecCase> cases() {
  MemberUpdates Members{memberRecordFor(1), memberRecordFor(2, 7)};
  Members[1].State_ = MemberState::Suspect;
  MemberBucket Bucket{BucketCount(5), BucketIndex(4)};
  std::vector<MembershipMessage> Membership{
      Ping{ProbeNumber(3), Bucket, BucketHash(9), Members},
      PingAck{ProbeNumber(3), Members},
      IndirectPing{ProbeNumber(4), memberIdFor(5), Members},
      IndirectPingResult{ProbeNumber(4), true, {}},
      MembersRequest{memberRecordFor(3), memberIdFor(2)},
      MembersPage{Members, false},
      BucketRecords{Bucket, true, Members}};
  RecordExchange Exchange{{instanceRecordFor(1), instanceRecordFor(2, 8)},
                          {RecordKey(5), RecordKey(6)},
                          true};
  std::vector<KeyDigest> Digests{{RecordKey(1), RecordDigest(2)},
                                 {RecordKey(3), RecordDigest(4)}};
  std::vector<DirectoryMessage> Directory{
      Exchange,
      DirectoryDigest{DigestRound(1), RecordDigest(2), Digests},
      DirectoryDigestResponse{DigestRound(1), RecordDigest(3), Exchange},
      GroupDigests{{RecordDigest(1), RecordDigest(2)}},
      LeafDigests{GroupIndex(7), {RecordDigest(1)}},
      RangeDigests{LeafIndex(1), LeafIndex(2), Digests},
      RecordsRequest{std::nullopt},
      RecordsRequest{RecordKey(5)},
      RecordsPage{Exchange.Records_, false},
      LeaseRenewals{{RecordKey(1), RecordKey(2)}},
      LeaseStatusRequest{RecordKey(5)},
      LeaseStatusResponse{RecordKey(5), true},
      LoadReport{InstanceId("a"), ServiceName("b"), SlotCount(3)}};
  ConfigurationVersion Version(12);
  std::vector<DistributionMessage> Distribution{
      VersionGossip{Version, true, {{memberIdFor(1), Version}}},
      EntriesRequest{Version},
      EntriesChunk{Version, {ConfigurationBytes("one"), ConfigurationBytes()}},
      SnapshotChunkRequest{Version, SnapshotHash(4), ByteCount(5)},
      SnapshotChunk{Version, SnapshotHash(4), ByteCount(5), ByteCount(6),
                    ConfigurationBytes("x")}};
  std::vector<LeaseClaim> Claims{{ServiceName("a"), FenceNumber(3)},
                                 {ServiceName("b"), FenceNumber(4)}};
  std::vector<LeaseMessage> Lease{
      LeaseRenewal{LeaseRound(1), HeldDigest(2)},
      LeaseRequest{LeaseRound(1), Claims, Claims}, LeaseRelease{Claims},
      LeaseAnswer{LeaseRound(1), FenceNumber(9), true, {ServiceName("a")}}};
  std::vector<CodecCase> Cases;
  auto Add = [&](const char *Name, const auto &Messages, auto Encode,
                 const Reencoder &Reencode) {
    for (std::size_t I = 0; I < Messages.size(); ++I)
      Cases.push_back(
          {Name + std::to_string(I), Encode(Messages[I]), Reencode});
  };
  Add("Membership", Membership, encodeMembershipMessage, ReencodeMembership);
  Add("Directory", Directory, encodeDirectoryMessage, ReencodeDirectory);
  Add("Spread", Distribution, encodeDistributionMessage, ReencodeDistribution);
  Add("Lease", Lease, encodeLeaseMessage, ReencodeLease);
  return Cases;
}

class FleetCodecTest : public testing::TestWithParam<CodecCase> {};

// Guards against a codec that loses a field, or encodes two messages as the
// same bytes.
TEST_P(FleetCodecTest, ReencodesToTheSameBytes) {
  EXPECT_EQ(GetParam().Reencode_(GetParam().Bytes_), GetParam().Bytes_);
  std::size_t SameBytes = 0;
  for (const CodecCase &Candidate : cases())
    SameBytes += Candidate.Bytes_ == GetParam().Bytes_ &&
                         Candidate.Name_[0] == GetParam().Name_[0]
                     ? 1
                     : 0;
  EXPECT_EQ(SameBytes, 1U);
}

// Guards against a damaged message that crashes the daemon.
TEST_P(FleetCodecTest, SurvivesDamage) {
  Random Numbers{RandomSeed(11)};
  EXPECT_FALSE(GetParam().Reencode_(""));
  for (std::size_t Length = 0; Length < GetParam().Bytes_.size(); ++Length)
    GetParam().Reencode_(GetParam().Bytes_.substr(0, Length));
  for (int Round = 0; Round < 500; ++Round) {
    std::string Bytes = GetParam().Bytes_;
    char &Changed = Bytes[Numbers.below(Bytes.size())];
    Changed = static_cast<char>(Changed ^ (1U << Numbers.below(8)));
    GetParam().Reencode_(Bytes);
  }
}

INSTANTIATE_TEST_SUITE_P(Messages, FleetCodecTest, testing::ValuesIn(cases()),
                         CaseName());

struct InvalidMessageCase {
  const char *Name_;
  std::string Bytes_;
  Reencoder Reencode_;
};

class InvalidMessageTest : public testing::TestWithParam<InvalidMessageCase> {};

// Guards against out-of-range values, which Cap'n Proto accepts.
TEST_P(InvalidMessageTest, IsRejected) {
  EXPECT_FALSE(GetParam().Reencode_(GetParam().Bytes_));
}

template <typename Record, typename State>
Record withInvalidState(Record Changed) {
  Changed.State_ = static_cast<State>(9);
  return Changed;
}

INSTANTIATE_TEST_SUITE_P(
    Values, InvalidMessageTest,
    testing::Values(
        InvalidMessageCase{"MemberState",
                           encodeMembershipMessage(PingAck{
                               {},
                               {withInvalidState<MemberRecord, MemberState>(
                                   memberRecordFor(1))}}),
                           ReencodeMembership},
        InvalidMessageCase{"BucketBeyondTheLast",
                           encodeMembershipMessage(Ping{
                               {}, {BucketCount(2), BucketIndex(2)}, {}, {}}),
                           ReencodeMembership},
        InvalidMessageCase{"InstanceState",
                           encodeDirectoryMessage(RecordsPage{
                               {withInvalidState<InstanceRecord, InstanceState>(
                                   instanceRecordFor(1))},
                               true}),
                           ReencodeDirectory},
        InvalidMessageCase{
            "NoAddress",
            encodeDirectoryMessage(RecordsPage{{InstanceRecord{}}, true}),
            ReencodeDirectory}),
    CaseName());

} // namespace
} // namespace jaybridge
