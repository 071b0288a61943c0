#include <LibOperator/ExplanationJson.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jaybridge {
namespace {

struct ExplanationCase {
  const char *Name_;
  AdmissionDecision Admission_;
  CandidateView View_;
  /// Fields that differ from a plain admission.
  const char *ServiceFields_;
  const char *CandidateFields_;
};

class ExplanationJsonTest : public testing::TestWithParam<ExplanationCase> {};

CandidateView makeView(std::optional<SelectionCost> Cost,
                       std::optional<UnavailableReason> Reason) {
  return {InstanceId("i"), FailureDomain("d"), true,  Cost,
          SlotCount(1),    SlotCount(4),       Reason};
}

// Guards against fields that are missing from the explanation or that change
// their names, since scripts of operators read them.
TEST_P(ExplanationJsonTest, HasTheDocumentedFields) {
  RoutingExplanation Explained;
  Explained.Version_ = ConfigurationVersion(7);
  Explained.Route_ = RouteName("r");
  Explained.Services_.push_back({ServiceName("s"),
                                 SplitWeight(90),
                                 GetParam().Admission_,
                                 {GetParam().View_}});
  auto Expected = nlohmann::json::parse(
      R"({"configuration_version":7,"route":"r","team":null,
          "tokens_left":null,"refused":null,"services":[
          {"service":"s","weight":90,"admission":"admitted","candidates":[
          {"instance":"i","failure_domain":"d","own_domain":true,"cost":null,
           "in_use":1,"limit":4,"candidate":true,"reason":null}]}]})");
  auto &Service = Expected["services"][0];
  Service.update(nlohmann::json::parse(GetParam().ServiceFields_));
  Service["candidates"][0].update(
      nlohmann::json::parse(GetParam().CandidateFields_));
  EXPECT_EQ(explanationJson(Explained), Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Decisions, ExplanationJsonTest,
    testing::Values(
        ExplanationCase{"Admitted", AdmittedNow{},
                        makeView(SelectionCost(0.5), std::nullopt), "{}",
                        R"({"cost":0.5})"},
        ExplanationCase{"Queued", QueuedFor{1500us},
                        makeView(std::nullopt, UnavailableReason::Full),
                        R"({"admission":"queued","expected_wait_ms":2})",
                        R"({"candidate":false,"reason":"full"})"},
        ExplanationCase{"Forwarded", ForwardedTo{MemberId("m")},
                        makeView(std::nullopt, UnavailableReason::BackingOff),
                        R"({"admission":"forwarded","home":"m"})",
                        R"({"candidate":false,"reason":"backing-off"})"},
        ExplanationCase{"Refused", RefusedBecause{RefusalReason::NoInstance},
                        makeView(std::nullopt, UnavailableReason::Ejected),
                        R"({"admission":"refused","reason":"no-instance"})",
                        R"({"candidate":false,"reason":"ejected"})"}),
    CaseName());

// Guards against a refusal before the choice of a service that is not shown.
TEST(ExplanationJson, ShowsTeamAndRefusal) {
  RoutingExplanation Explained;
  Explained.Team_ = TeamName("kaje80");
  Explained.TokensLeft_ = RequestTokens(2.5);
  Explained.Refusal_ = RefusalReason::Draining;
  const nlohmann::json Shown = explanationJson(Explained);
  EXPECT_EQ(Shown["team"], "kaje80");
  EXPECT_EQ(Shown["tokens_left"], 2.5);
  EXPECT_EQ(Shown["refused"], "draining");
}

} // namespace
} // namespace jaybridge
