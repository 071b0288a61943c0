#include <LibWire/RegistryCbor.h>
#include <LibWire/RegistryCodec.h>

#include <LibCore/DecisionRole.h>

#include <algorithm>
#include <cmath>

namespace jaybridge {

using namespace registry_cbor;

namespace {

// Found together with the functions of this file.
using registry_cbor::write;

json write(const InstanceId &Id) { return Id.text(); }
InstanceId readInstanceId(const json &Value) {
  return InstanceId(Value.get<std::string>());
}

json write(const AttemptCounts &Counts) {
  json List = json::array(
      {Counts.Id_.text(), Counts.Lost_.value(), Counts.Errors_.value(),
       Counts.Unreachable_.value(), Counts.Successes_.value(),
       std::chrono::ceil<std::chrono::milliseconds>(Counts.ServiceTime_)
           .count()});
  if (Counts.Overdue_ + Counts.AnsweredLate_ + Counts.NeverAnswered_ >
      EventCount(0))
    for (EventCount Count :
         {Counts.Overdue_, Counts.AnsweredLate_, Counts.NeverAnswered_})
      List.push_back(Count.value());
  return List;
}
AttemptCounts readAttemptCounts(const json &Value) {
  // Earlier versions of the protocol send fewer counts.
  auto Count = [&](std::size_t Index) {
    return EventCount(
        Index < Value.size() ? Value.at(Index).get<std::uint64_t>() : 0);
  };
  AttemptCounts Counts{InstanceId(Value.at(0).get<std::string>()),
                       EventCount(Value.at(1).get<std::uint64_t>()),
                       Count(2),
                       Count(3),
                       Count(4),
                       Count(6),
                       Count(7),
                       Count(8)};
  constexpr std::uint64_t MaxServiceMilliseconds = 86'400'000;
  Counts.ServiceTime_ = std::chrono::milliseconds(
      std::min(Count(5).value(), MaxServiceMilliseconds));
  return Counts;
}

json write(const RetryCount &Count) {
  return json::array({Count.Service_.text(), Count.Retries_.value()});
}
RetryCount readRetryCount(const json &Value) {
  return {ServiceName(Value.at(0).get<std::string>()),
          EventCount(Value.at(1).get<std::uint64_t>())};
}

json write(const ControlMember &Member) {
  return json::array({Member.Id_.text(), Member.Domain_.text()});
}
ControlMember readMember(const json &Value) {
  return {MemberId(Value.at(0).get<std::string>()),
          FailureDomain(Value.at(1).get<std::string>())};
}

json write(Fingerprint Request) { return Request.value(); }
Fingerprint readFingerprint(const json &Value) {
  return Fingerprint(Value.get<std::uint64_t>());
}

json write(const LostRequest &Lost) {
  return json::array({Lost.Instance_.text(), Lost.Fingerprint_.value()});
}
LostRequest readLostRequest(const json &Value) {
  return {InstanceId(Value.at(0).get<std::string>()),
          readFingerprint(Value.at(1))};
}

std::uint32_t wholeTokens(RequestTokens Tokens) {
  constexpr double MaxTokens = 1e9;
  return static_cast<std::uint32_t>(
      std::clamp(std::ceil(Tokens.value()), 0.0, MaxTokens));
}
RequestTokens readTokens(const json &Value) {
  return RequestTokens(Value.get<std::uint32_t>());
}

json write(const TokenWish &Wish) {
  json List = json::array({Wish.Team_.text(), wholeTokens(Wish.Wanted_)});
  if (Wish.Reserved_ > RequestTokens{})
    List.push_back(wholeTokens(Wish.Reserved_));
  return List;
}
TokenWish readWish(const json &Value) {
  return {TeamName(Value.at(0).get<std::string>()), readTokens(Value.at(1)),
          Value.size() > 2 ? readTokens(Value.at(2)) : RequestTokens{}};
}

json write(const TokenReturn &Return) {
  return json::array({Return.Team_.text(), Return.Round_.value(),
                      wholeTokens(Return.Tokens_)});
}
TokenReturn readReturn(const json &Value) {
  return {TeamName(Value.at(0).get<std::string>()),
          TokenRound(Value.at(1).get<std::uint64_t>()),
          readTokens(Value.at(2))};
}

json write(const TokenShare &Share) {
  json List = json::array({Share.Team_.text(), wholeTokens(Share.Granted_)});
  if (Share.RetryAfter_)
    List.push_back(
        std::chrono::ceil<std::chrono::milliseconds>(*Share.RetryAfter_)
            .count());
  return List;
}
TokenShare readShare(const json &Value) {
  TokenShare Share{
      TeamName(Value.at(0).get<std::string>()), readTokens(Value.at(1)), {}};
  constexpr std::uint64_t MaxRetryMilliseconds = 86'400'000;
  if (Value.size() > 2)
    Share.RetryAfter_ = std::chrono::milliseconds(
        std::min(Value.at(2).get<std::uint64_t>(), MaxRetryMilliseconds));
  return Share;
}

template <typename Item> json writeAll(const std::vector<Item> &Items) {
  json List = json::array();
  for (const Item &Element : Items)
    List.push_back(write(Element));
  return List;
}
json write(const EjectionChange &Change) {
  json List = json::array({Change.Result_.value()});
  if (Change.Base_ == Change.Result_)
    return List;
  List.push_back(Change.Base_.value());
  List.push_back(writeAll(Change.Added_));
  List.push_back(writeAll(Change.Removed_));
  return List;
}
EjectionChange readEjections(const json &Value) {
  const EjectionDigest Result(Value.at(0).get<std::uint64_t>());
  if (Value.size() == 1)
    return {Result, Result, {}, {}};
  return {EjectionDigest(Value.at(1).get<std::uint64_t>()), Result,
          readAll(Value.at(2), readInstanceId),
          readAll(Value.at(3), readInstanceId)};
}

/// Adds both lists to a message unless they are empty, as they usually are.
template <typename Lists, typename First, typename Second>
void appendUnlessEmpty(json &Message, const Lists &Value, First Lists::*One,
                       Second Lists::*Other) {
  if (Value.isEmpty())
    return;
  Message.push_back(writeAll(Value.*One));
  Message.push_back(writeAll(Value.*Other));
}
void append(json &Message, const RequestEvidence &Evidence) {
  appendUnlessEmpty(Message, Evidence, &RequestEvidence::Lost_,
                    &RequestEvidence::Answered_);
}
void append(json &Message, const RequestVerdicts &Verdicts) {
  appendUnlessEmpty(Message, Verdicts, &RequestVerdicts::Suspected_,
                    &RequestVerdicts::Quarantined_);
}
/// Reads the lists that start at an index of the message; earlier versions of
/// the protocol do not send them.
RequestEvidence readEvidence(const json &Message, std::size_t Index) {
  if (Message.size() <= Index)
    return {};
  return {readAll(Message.at(Index), readLostRequest),
          readAll(Message.at(Index + 1), readFingerprint)};
}
RequestVerdicts readVerdicts(const json &Message, std::size_t Index) {
  if (Message.size() <= Index)
    return {};
  return {readAll(Message.at(Index), readFingerprint),
          readAll(Message.at(Index + 1), readFingerprint)};
}

SubscriptionMessage readMessage(const json &Value) {
  switch (tagOf(Value)) {
  case Tag::SubscribeRequest:
    return SubscribeRequest{
        LogIndex(Value.at(1).get<std::uint64_t>()),
        ConfigurationVersion(Value.at(2).get<std::uint64_t>()),
        MemberListDigest(Value.at(3).get<std::uint64_t>()),
        // Earlier versions of the protocol do not send it.
        EjectionDigest(Value.size() > 4 ? Value.at(4).get<std::uint64_t>() : 0),
        Value.size() > 5 && Value.at(5).get<bool>()};
  case Tag::AttemptReport:
    return AttemptReport{readAll(Value.at(1), readAttemptCounts),
                         readAll(Value.at(2), readRetryCount),
                         readEvidence(Value, 3)};
  case Tag::RegistryStale:
    return RegistryStale{};
  case Tag::RetriesGranted:
    return RetriesGranted{readAll(Value.at(1), readRetryCount)};
  case Tag::TokenRequest:
    return TokenRequest{TokenRound(Value.at(1).get<std::uint64_t>()),
                        readAll(Value.at(2), readWish),
                        readAll(Value.at(3), readReturn)};
  case Tag::TokenGrant:
    return TokenGrant{TokenRound(Value.at(1).get<std::uint64_t>()),
                      readAll(Value.at(2), readShare)};
  case Tag::RegistryUpdate:
    return RegistryUpdate{readOptional<LogIndex>(Value.at(1)),
                          LogIndex(Value.at(2).get<std::uint64_t>()),
                          readDocument(Value.at(3)),
                          readDelta(Value.at(4)),
                          readAll(Value.at(5), readInstance),
                          readAll(Value.at(6), readMember)};
  case Tag::RegistryHeartbeat:
    return RegistryHeartbeat{
        LogIndex(Value.at(1).get<std::uint64_t>()), readEjections(Value.at(2)),
        readAll(Value.at(3), readMember), readVerdicts(Value, 4)};
  case Tag::FollowerReport:
    return FollowerReport{FailureDomain(Value.at(1).get<std::string>()),
                          readAll(Value.at(2), readAttemptCounts),
                          readEvidence(Value, 4), Value.at(3).get<bool>()};
  case Tag::LeaderUpdate:
    return LeaderUpdate{readEjections(Value.at(1)),
                        MemberListDigest(Value.at(3).get<std::uint64_t>()),
                        readAll(Value.at(2), readMember),
                        readVerdicts(Value, 4)};
  default:
    throw json::other_error::create(501, "unknown kind of message", nullptr);
  }
}

} // namespace

std::string encodeSubscriptionMessage(const SubscriptionMessage &Message) {
  json Value = std::visit(
      Overloaded{
          [](const SubscribeRequest &Request) {
            json List = taggedArray(Tag::SubscribeRequest);
            List.push_back(Request.Revision_.value());
            List.push_back(Request.Version_.value());
            List.push_back(Request.Members_.value());
            List.push_back(Request.Ejections_.value());
            if (Request.IsRenewal_)
              List.push_back(true);
            return List;
          },
          [](const AttemptReport &Report) {
            json List = taggedArray(Tag::AttemptReport);
            List.push_back(writeAll(Report.Instances_));
            List.push_back(writeAll(Report.SpentRetries_));
            append(List, Report.Requests_);
            return List;
          },
          [](const RegistryStale &) { return taggedArray(Tag::RegistryStale); },
          [](const RetriesGranted &Grant) {
            json List = taggedArray(Tag::RetriesGranted);
            List.push_back(writeAll(Grant.Retries_));
            return List;
          },
          [](const TokenRequest &Request) {
            json List = taggedArray(Tag::TokenRequest);
            List.push_back(Request.Round_.value());
            List.push_back(writeAll(Request.Wishes_));
            List.push_back(writeAll(Request.Returns_));
            return List;
          },
          [](const TokenGrant &Grant) {
            json List = taggedArray(Tag::TokenGrant);
            List.push_back(Grant.Round_.value());
            List.push_back(writeAll(Grant.Shares_));
            return List;
          },
          [](const RegistryUpdate &Update) {
            json List = taggedArray(Tag::RegistryUpdate);
            List.push_back(writeOptional(Update.BaseRevision_));
            List.push_back(Update.Revision_.value());
            List.push_back(write(Update.Document_));
            List.push_back(write(Update.Delta_));
            List.push_back(writeAll(Update.Instances_));
            List.push_back(writeAll(Update.Members_));
            return List;
          },
          [](const RegistryHeartbeat &Heartbeat) {
            json List = taggedArray(Tag::RegistryHeartbeat);
            List.push_back(Heartbeat.Revision_.value());
            List.push_back(write(Heartbeat.Ejections_));
            List.push_back(writeAll(Heartbeat.Members_));
            append(List, Heartbeat.Requests_);
            return List;
          },
          [](const FollowerReport &Report) {
            json List = taggedArray(Tag::FollowerReport);
            List.push_back(Report.Domain_.text());
            List.push_back(writeAll(Report.Instances_));
            List.push_back(Report.NeedsWholeLists_);
            append(List, Report.Requests_);
            return List;
          },
          [](const LeaderUpdate &Update) {
            json List = taggedArray(Tag::LeaderUpdate);
            List.push_back(write(Update.Ejections_));
            List.push_back(writeAll(Update.Members_));
            List.push_back(Update.MembersDigest_.value());
            append(List, Update.Requests_);
            return List;
          },
      },
      Message);
  return toCbor(Value);
}

Result<SubscriptionMessage> decodeSubscriptionMessage(std::string_view Bytes) {
  return readCbor<SubscriptionMessage>(Bytes, readMessage);
}

} // namespace jaybridge
