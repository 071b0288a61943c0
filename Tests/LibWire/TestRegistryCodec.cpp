#include <LibWire/RegistryCodec.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jaybridge {
namespace {

using nlohmann::json;

std::string cborOf(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

/// The CBOR head of a list with one element, again and again.
std::string nestedLists(std::size_t Depth) {
  return std::string(Depth, '\x81');
}

constexpr unsigned StoredDocumentTag = 7;
constexpr unsigned StoreInstanceTag = 8;
constexpr unsigned DocumentDeltaTag = 10;

struct DamagedCase {
  const char *Name_;
  std::string Bytes_;
};

class DamagedRegistryMessageTest : public testing::TestWithParam<DamagedCase> {
};

// Guards against a daemon that ends again and again because of one damaged
// message, command or snapshot.
TEST_P(DamagedRegistryMessageTest, IsReported) {
  const std::string &Bytes = GetParam().Bytes_;
  auto Command = RegistryWireCodec::decodeCommand(Bytes);
  ASSERT_FALSE(Command);
  EXPECT_EQ(Command.error().Code_, ErrorCode::Damaged);
  EXPECT_FALSE(RegistryWireCodec::decodeState(Bytes));
  EXPECT_FALSE(decodeSubscriptionMessage(Bytes));
}

INSTANTIATE_TEST_SUITE_P(
    Contents, DamagedRegistryMessageTest,
    testing::Values(
        DamagedCase{"Empty", ""},
        DamagedCase{"NoDocument",
                    cborOf(json::array({StoredDocumentTag, nullptr}))},
        DamagedCase{"NoDelta",
                    cborOf(json::array({DocumentDeltaTag, nullptr}))},
        DamagedCase{"UnknownState",
                    cborOf(json::array({StoreInstanceTag,
                                        json::array({"i", "s", "10.0.0.1", 80,
                                                     "d", 4, 9, 1})}))},
        DamagedCase{"Nested", nestedLists(1'000'000)}),
    CaseName());

const RequestEvidence Evidence{{{InstanceId("i"), Fingerprint(~0ULL)}},
                               {Fingerprint(3)}};
const RequestVerdicts Verdicts{{Fingerprint(1)}, {Fingerprint(~0ULL)}};

// Guards against evidence about requests, or decisions about them, that change
// or get lost between daemons.
TEST(RegistryMessageTest, CarriesEvidenceAndVerdicts) {
  auto Decode = [](const SubscriptionMessage &Message) {
    return decodeSubscriptionMessage(encodeSubscriptionMessage(Message))
        .takeValue();
  };
  AttemptReport Report;
  Report.Requests_ = Evidence;
  EXPECT_EQ(std::get<AttemptReport>(Decode(Report)).Requests_, Evidence);
  FollowerReport OfFollower;
  OfFollower.Requests_ = Evidence;
  EXPECT_EQ(std::get<FollowerReport>(Decode(OfFollower)).Requests_, Evidence);
  RegistryHeartbeat Heartbeat;
  Heartbeat.Requests_ = Verdicts;
  EXPECT_EQ(std::get<RegistryHeartbeat>(Decode(Heartbeat)).Requests_, Verdicts);
  LeaderUpdate Update;
  Update.Requests_ = Verdicts;
  EXPECT_EQ(std::get<LeaderUpdate>(Decode(Update)).Requests_, Verdicts);
  EXPECT_TRUE(std::get<RegistryHeartbeat>(Decode(RegistryHeartbeat{}))
                  .Requests_.isEmpty());
}

// Guards against tokens that change between daemons, and against a token
// message that is far larger than its teams: a gateway may use 4 KB/s for all
// of them.
TEST(TokenMessageTest, CarriesTokensInFewBytes) {
  const TokenRequest Request{
      TokenRound(~0ULL),
      {{TeamName("kaje80"), RequestTokens(3), {}},
       {TeamName("b"), {}, RequestTokens(2)}},
      {{TeamName("c"), TokenRound(7), RequestTokens(1)}}};
  const TokenGrant Grant{TokenRound(1),
                         {{TeamName("kaje80"), RequestTokens(2), {}},
                          {TeamName("b"), {}, Duration(20ms)}}};
  const std::string Bytes = encodeSubscriptionMessage(Request);
  EXPECT_EQ(std::get<TokenRequest>(decodeSubscriptionMessage(Bytes).value()),
            Request);
  EXPECT_LE(Bytes.size(), 40U);
  EXPECT_EQ(
      std::get<TokenGrant>(
          decodeSubscriptionMessage(encodeSubscriptionMessage(Grant)).value()),
      Grant);
}

struct DepartureCase {
  const char *Name_;
  std::optional<Incarnation> LastIncarnation_;
};

class DepartureCommandTest : public testing::TestWithParam<DepartureCase> {};

// Guards against a departure that names no start and is read as one of the
// earliest start, which removes nothing.
TEST_P(DepartureCommandTest, KeepsItsIncarnation) {
  const RemoveInstance Command{InstanceId("i"), GetParam().LastIncarnation_};
  auto Decoded = RegistryWireCodec::decodeCommand(
      RegistryWireCodec::encodeCommand(Command));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(std::get<RemoveInstance>(Decoded.value()).LastIncarnation_,
            GetParam().LastIncarnation_);
}

INSTANTIATE_TEST_SUITE_P(Incarnations, DepartureCommandTest,
                         testing::Values(DepartureCase{"Named", Incarnation(5)},
                                         DepartureCase{"None", std::nullopt}),
                         CaseName());

// Guards against a change that is applied to another text than the one it was
// computed for, and against rejecting a change of an earlier release.
TEST(DocumentDeltaCommandTest, KeepsTheDigestOfItsResult) {
  const DocumentDelta Delta{
      ConfigurationVersion(1), ConfigurationVersion(2), {}, DocumentDigest(9)};
  auto Decoded =
      RegistryWireCodec::decodeCommand(RegistryWireCodec::encodeCommand(Delta));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(std::get<DocumentDelta>(Decoded.value()), Delta);
  auto Earlier = RegistryWireCodec::decodeCommand(cborOf(
      json::array({DocumentDeltaTag, json::array({1, 2, json::array()})})));
  ASSERT_TRUE(Earlier);
  EXPECT_EQ(std::get<DocumentDelta>(Earlier.value()).Result_, DocumentDigest());
}

} // namespace
} // namespace jaybridge
