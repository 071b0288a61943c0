#include <LibProfile/ConfigurationChange.h>

#include <LibCore/DecisionRole.h>
#include <LibCore/Hash.h>
#include <LibProfile/OperatorText.h>

#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace jaybridge {

namespace {

std::string formatRate(double Value) {
  std::array<char, 32> Buffer{};
  auto [End, Failure] =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Value);
  return Failure == std::errc() ? std::string(Buffer.data(), End) : "?";
}

std::string formatPatience(Duration Patience) {
  return std::to_string(Patience.count()) + " us";
}

using NamedValues = std::vector<std::pair<const char *, std::string>>;

NamedValues namedValues(const ProfileDraft &Draft) {
  return {{"repeatable",
           Draft.Repeatability_ == Repeatability::Repeatable ? "yes" : "no"},
          {"patience", formatPatience(Draft.Patience_)},
          {"floor", std::to_string(Draft.Floor_.value())},
          {"weight", std::to_string(Draft.Weight_.value())},
          {"retry-budget", std::to_string(Draft.RetryBudget_.value())},
          {"hedging", Draft.IsHedgingAllowed_ ? "on" : "off"},
          {"false-ejection", formatRate(Draft.FalseEjectionRate_.value())},
          {"missed-detection", formatRate(Draft.MissedDetectionRate_.value())}};
}

std::string describeDraft(const char *Verb, const ProfileDraft &Draft) {
  std::string Line = std::string(Verb) + " profile " + Draft.Name_.text() + ":";
  const char *Separator = " ";
  for (const auto &[Field, Value] : namedValues(Draft)) {
    Line += Separator + std::string(Field) + " " + Value;
    Separator = ", ";
  }
  return Line;
}

} // namespace

Status checkText(const ConfigurationChange &Change) {
  JAYBRIDGE_TRY_STATUS(checkOperatorText(Change.RequestId_.text(),
                                         MaxRequestIdLength, "request-id"));
  return checkOperatorText(Change.Author_.text(), MaxAuthorLength, "author");
}

std::string describe(const ConfigurationAction &Action) {
  return std::visit(Overloaded{[](const CreateProfile &Create) {
                                 return describeDraft("create", Create.Draft_);
                               },
                               [](const UpdateProfile &Update) {
                                 return describeDraft("update", Update.Draft_);
                               },
                               [](const AssignService &Assign) {
                                 return "assign service " +
                                        Assign.Service_.text() +
                                        " to profile " + Assign.Profile_.text();
                               }},
                    Action);
}

std::string describeDifference(const ProfileDraft &Before,
                               const ProfileDraft &After) {
  NamedValues Old = namedValues(Before);
  NamedValues New = namedValues(After);
  std::string Line;
  for (std::size_t I = 0; I < Old.size(); ++I) {
    if (Old[I].second == New[I].second)
      continue;
    Line += (Line.empty() ? "" : ", ") + std::string(Old[I].first) + " " +
            Old[I].second + " -> " + New[I].second;
  }
  return Line.empty() ? "no difference" : Line;
}

Fingerprint contentFingerprint(const ConfigurationChange &Change) {
  return Fingerprint(stableHash(std::to_string(Change.BasedOn_.value()) + "\n" +
                                Change.Author_.text() + "\n" +
                                describe(Change.Action_)));
}

} // namespace jaybridge
