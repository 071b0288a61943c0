#pragma once

#include <LibRegistry/ControlMessages.h>
#include <LibRegistry/StoredDocument.h>

#include <LibCore/DecisionRole.h>
#include <LibQuota/TokenIssuer.h>
#include <LibQuota/TokenRelay.h>
#include <LibReplication/ReplicatedLog.h>

#include <algorithm>
#include <concepts>

namespace jaybridge {

/// Reads the limits of teams from the text of a configuration; none from a text
/// that is invalid.
template <typename Reader>
concept TeamLimitReader = requires(const std::string &Text) {
  { Reader::readTeamLimits(Text) } -> std::same_as<TeamLimits>;
};

/// For control members of fleets without limited teams.
struct NoTeamLimits {
  static TeamLimits readTeamLimits(const std::string &) { return {}; }
};

template <typename Message>
concept TokenMessage =
    std::same_as<Message, TokenRequest> || std::same_as<Message, TokenGrant>;

/// What a control member's grants depend on, for the duration of a call.
struct TokenRole {
  MemberId Self_;
  const ReplicatedLog &Log_;
  /// A member that is not current grants nothing.
  bool IsCurrent_;
  const std::optional<StoredDocument> &Document_;
};

/// A control member's part in the limits of teams: it passes tokens on to the
/// gateways that follow it and, on the leader, issues them. The limits are
/// those of the newest document that the leader has applied.
template <TeamLimitReader Reader> class TokenGrantor {
public:
  using Effects = std::vector<ControlEffect>;

  explicit TokenGrantor(TokenRound FirstRound) : Relay_(FirstRound) {}

  /// Of a gateway or, on the leader, of another member for its gateways.
  void handle(const MemberId &From, const TokenRequest &Request,
              const TokenRole &Role, TimePoint Now, Effects &Out) {
    update(Role, Now);
    if (!Role.IsCurrent_)
      return;
    const auto &Voters = Role.Log_.members().Voters_;
    if (std::any_of(Voters.begin(), Voters.end(),
                    [&](const Voter &Each) { return Each.Id_ == From; })) {
      if (Role.Log_.isLeader())
        Out.emplace_back(
            SendSubscription{From, Issuer_.handle(From, Request, Now)});
      return;
    }
    TokenRelay::Grants Grants;
    Relay_.handle(From, Request, Now, Grants);
    send(std::move(Grants), Out);
    advance(Role, Now, Out);
  }
  void handle(const MemberId &From, const TokenGrant &Grant,
              const TokenRole &Role, TimePoint Now, Effects &Out) {
    update(Role, Now);
    if (!Role.IsCurrent_ || Role.Log_.leader() != From)
      return;
    TokenRelay::Grants Grants;
    Relay_.handle(Grant, Now, Grants);
    send(std::move(Grants), Out);
  }
  void advance(const TokenRole &Role, TimePoint Now, Effects &Out) {
    update(Role, Now);
    auto Request = Relay_.takeRequest(Now);
    // Without a leader the request stays unanswered, and the gateways notice.
    if (!Request || !Role.Log_.leader() || !Role.IsCurrent_)
      return;
    if (!Role.Log_.isLeader()) {
      Out.emplace_back(
          SendSubscription{*Role.Log_.leader(), std::move(*Request)});
      return;
    }
    TokenRelay::Grants Grants;
    Relay_.handle(Issuer_.handle(Role.Self_, *Request, Now), Now, Grants);
    send(std::move(Grants), Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    return Relay_.nextDeadline();
  }

private:
  /// Follows changes of the leader and of the document.
  void update(const TokenRole &Role, TimePoint Now) {
    if (Term_ != Role.Log_.term() || Leader_ != Role.Log_.leader()) {
      Term_ = Role.Log_.term();
      Leader_ = Role.Log_.leader();
      Relay_.changeLeader();
      Issuer_.start(Now);
    }
    if (Role.Log_.isLeader() && Role.Document_ &&
        Role.Document_->Version_ != Version_) {
      Version_ = Role.Document_->Version_;
      Issuer_.setLimits(Reader::readTeamLimits(Role.Document_->Text_), Now);
    }
  }
  void send(TokenRelay::Grants Grants, Effects &Out) {
    for (GatewayTokenGrant &Grant : Grants)
      Out.emplace_back(SendSubscription{Grant.To_, std::move(Grant.Grant_)});
  }

  TokenRelay Relay_;
  TokenIssuer Issuer_;
  std::optional<MemberId> Leader_;
  Term Term_;
  /// Version of the limits.
  ConfigurationVersion Version_;
};

} // namespace jaybridge
