#include "RegistryFleet.h"

#include <sstream>

namespace jaybridge {

Result<RoutingTable> LineDocument::read(const std::string &Text) {
  RoutingDraft Draft;
  std::istringstream Lines(Text);
  std::uint64_t Version = 0;
  Lines >> Version;
  Draft.Version_ = ConfigurationVersion(Version);
  std::string Host;
  std::string Service;
  while (Lines >> Host >> Service) {
    Draft.Services_.push_back(
        ServiceDefinition{ServiceName(Service), "/health"});
    RouteDraft Route;
    Route.Name_ = RouteName(Host);
    Route.Host_ = HostName(Host);
    Route.Prefix_ = "/";
    Route.WeightedServices_ = {WeightedService{ServiceName(Service)}};
    Draft.Routes_.push_back(std::move(Route));
  }
  return RoutingTable::create(std::move(Draft));
}

TeamLimits LineDocument::readTeamLimits(const std::string &Text) {
  TeamLimits Limits;
  std::istringstream Words(Text);
  std::string Word;
  while (Words >> Word)
    if (const auto Colon = Word.find(':'); Colon != std::string::npos) {
      const double Rate = std::stod(Word.substr(Colon + 1));
      Limits[TeamName(Word.substr(0, Colon))] = {RequestRate(Rate),
                                                 RequestTokens(Rate)};
    }
  return Limits;
}

void answerReads(RegistrySubscription &Subscription, TimePoint Now,
                 std::vector<RegistrySubscriptionEffect> &Effects) {
  DocumentReading<LineDocument> Reading;
  for (std::size_t Index = 0; Index < Effects.size(); ++Index) {
    const auto *Requested = std::get_if<ReadDocument>(&Effects[Index]);
    if (!Requested)
      continue;
    std::vector<DocumentRead> Read;
    Reading.handle(*Requested, Now, Read);
    for (DocumentRead &Each : Read)
      Subscription.handle(std::move(Each), Now, Effects);
  }
}

MemberId RegistryFleet::member(std::size_t Index) {
  return MemberId("10.0.0." + std::to_string(Index + 1) + ":7000");
}
MemberId RegistryFleet::gateway(std::size_t Index) {
  return MemberId("10.9.0." + std::to_string(Index + 1) + ":7000");
}

FailureDomain RegistryFleet::domain(std::size_t Index) {
  return FailureDomain("d" + std::to_string(Index % DomainCount));
}

std::string RegistryFleet::routes(const std::string &ChangedService) {
  std::string Text;
  for (int Index = 0; Index < 20; ++Index)
    Text += " h" + std::to_string(Index) + ".example " +
            (Index == 10 ? ChangedService : "s") + "}\n";
  return Text;
}

RegistryFleet::RegistryFleet(std::size_t MemberCount,
                             std::size_t GatewayCount) {
  for (std::size_t Index = 0; Index < MemberCount; ++Index) {
    addMember();
    startMember(Index, true);
  }
  for (std::size_t Index = 0; Index < GatewayCount; ++Index)
    addGateway();
}

std::size_t RegistryFleet::addGateway() {
  const std::size_t Index = Gateways_.size();
  RegistrySubscriptionSettings Settings;
  Settings.Domain_ = domain(Index);
  Settings.Self_ = Endpoint::create(gateway(Index).text()).takeValue();
  Settings.Seeds_ = {member(0), member(1), member(2)};
  Gateways_.push_back(
      std::make_unique<Gateway>(std::move(Settings), RandomSeed(Index + 1)));
  Views_.emplace_back();
  return Index;
}

std::size_t RegistryFleet::addMember() {
  Members_.emplace_back();
  Writes_.emplace_back();
  loseFolder(Members_.size() - 1);
  return Members_.size() - 1;
}

void RegistryFleet::loseFolder(std::size_t Index) {
  Members_[Index].Generation_ = FolderGeneration(++LastGeneration_);
  Writes_[Index].clear();
}

RecoveredLog RegistryFleet::recover(Member &Restarted) {
  LogRecovery Recovery(Restarted.Generation_);
  for (const PersistLog &Write : Writes_[&Restarted - Members_.data()])
    Recovery.add(Write);
  return Recovery.take();
}

void RegistryFleet::startMember(std::size_t Index, bool IsFirstStart) {
  ReplicationSettings Replication;
  Replication.Self_ = member(Index);
  Replication.Members_ = {member(0), member(1), member(2)};
  Replication.CanFormLog_ = IsFirstStart && Index < 3;
  auto Log = ReplicatedLog::create(Replication, recover(Members_[Index]),
                                   RandomSeed(++LastGeneration_), Now_);
  ASSERT_TRUE(Log) << Log.error().Message_;
  ControlSettings Settings;
  Settings.Self_ = member(Index);
  Settings.Domain_ = domain(Index);
  Members_[Index].Running_ =
      std::make_unique<Control>(std::move(Settings), Log.takeValue());
}

void RegistryFleet::stopMember(std::size_t Index) {
  Members_[Index].Running_.reset();
}

void RegistryFleet::setPartitioned(const MemberId &Left, const MemberId &Right,
                                   bool IsPartitioned) {
  for (const auto &Pair : {std::pair(Left, Right), std::pair(Right, Left)})
    if (IsPartitioned)
      Partitions_.insert(Pair);
    else
      Partitions_.erase(Pair);
}

void RegistryFleet::breakConnections() {
  for (std::size_t Gateway = 0; Gateway < Gateways_.size(); ++Gateway)
    for (std::size_t Member = 0; Member < Members_.size(); ++Member)
      BrokenConnections_.insert({gateway(Gateway), member(Member)});
}

bool RegistryFleet::isPartitioned(const MemberId &From,
                                  const MemberId &To) const {
  return Partitions_.contains({From, To});
}

void RegistryFleet::run(Duration Time) {
  const TimePoint End = Now_ + Time;
  while (Now_ < End) {
    Now_ += TimeStep;
    while (!Messages_.empty() && Messages_.front().DeliverAt_ <= Now_) {
      Message Received = std::move(Messages_.front());
      Messages_.pop_front();
      receive(Received);
    }
    for (std::size_t Index = 0; Index < Members_.size(); ++Index) {
      if (auto &Due = Members_[Index].RestartAt_; Due && *Due <= Now_) {
        Due.reset();
        startMember(Index);
      }
      if (Members_[Index].Running_) {
        std::vector<ControlEffect> Effects;
        Members_[Index].Running_->advance(Now_, Effects);
        deliver(Index, std::move(Effects));
      }
    }
    for (std::size_t Index = 0; Index < Gateways_.size(); ++Index) {
      std::vector<RegistrySubscriptionEffect> Effects;
      Gateways_[Index]->advance(Now_, Effects);
      deliver(Index, std::move(Effects));
    }
  }
}

void RegistryFleet::electAndAnnounce(const InstanceRecord &Instance) {
  while (leader() == Members_.size())
    run(TimeStep);
  announce(leader(), Instance);
}

void RegistryFleet::receive(const Message &Received) {
  if (isPartitioned(Received.From_, Received.To_))
    return;
  for (std::size_t Index = 0; Index < Members_.size(); ++Index) {
    if (member(Index) != Received.To_ || !Members_[Index].Running_)
      continue;
    if (const auto *Body = std::get_if<ReplicationMessage>(&Received.Body_))
      handle(Index, ControlEvent(*Body));
    else
      handle(Index, ControlEvent(SubscriptionReceived{
                        Received.From_,
                        std::get<SubscriptionMessage>(Received.Body_)}));
  }
  for (std::size_t Index = 0; Index < Gateways_.size(); ++Index) {
    if (gateway(Index) != Received.To_)
      continue;
    handle(Index,
           RegistrySubscriptionEvent(SubscriptionReceived{
               Received.From_, std::get<SubscriptionMessage>(Received.Body_)}));
  }
}

void RegistryFleet::handle(std::size_t Index,
                           const RegistrySubscriptionEvent &Event) {
  std::vector<RegistrySubscriptionEffect> Effects;
  Gateways_[Index]->handle(Event, Now_, Effects);
  answerReads(*Gateways_[Index], Now_, Effects);
  deliver(Index, std::move(Effects));
}

void RegistryFleet::finishAttempt(std::size_t Gateway,
                                  const ReportAttempt &Attempt) {
  handle(Gateway, RegistrySubscriptionEvent(Attempt));
}

void RegistryFleet::spendRetry(std::size_t Gateway,
                               const ServiceName &Service) {
  handle(Gateway, RegistrySubscriptionEvent(ReportRetry{Service}));
}

void RegistryFleet::requestTokens(std::size_t Gateway, TokenRequest Request) {
  handle(Gateway,
         RegistrySubscriptionEvent(SendTokenRequest{std::move(Request)}));
}

void RegistryFleet::handle(std::size_t Index, const ControlEvent &Event) {
  std::vector<ControlEffect> Effects;
  Members_[Index].Running_->handle(Event, Now_, Effects);
  deliver(Index, std::move(Effects));
}

void RegistryFleet::deliver(std::size_t Index,
                            std::vector<ControlEffect> Effects) {
  for (ControlEffect &Effect : Effects)
    std::visit(
        Overloaded{
            [&](SendReplication &Send) {
              Messages_.push_back(Message{Now_ + MessageLatency, member(Index),
                                          Send.To_, std::move(Send.Message_)});
            },
            [&](SendSubscription &Send) {
              // Encodes and decodes the message to detect losses in the codec.
              auto Decoded = decodeSubscriptionMessage(
                  encodeSubscriptionMessage(Send.Message_));
              ASSERT_TRUE(Decoded);
              const auto *Update =
                  std::get_if<RegistryUpdate>(&Decoded.value());
              FullUpdateCount_ += Update && !Update->BaseRevision_ ? 1 : 0;
              WholeDocumentCount_ += Update && Update->Document_ ? 1 : 0;
              FollowerReportCount_ +=
                  std::holds_alternative<FollowerReport>(Decoded.value()) ? 1
                                                                          : 0;
              Messages_.push_back(Message{Now_ + MessageLatency, member(Index),
                                          Send.To_, Decoded.takeValue()});
            },
            [&](NotifySubscribers &Notification) {
              auto Decoded = decodeSubscriptionMessage(
                  encodeSubscriptionMessage(Notification.Message_));
              ASSERT_TRUE(Decoded);
              for (const MemberId &To : Notification.To_)
                Messages_.push_back(Message{
                    Now_ + MessageLatency, member(Index), To, Decoded.value()});
            },
            [&](PersistLog &Write) {
              if (Members_[Index].IsDiskFull_)
                return handle(
                    Index, PersistFailed{
                               Error{ErrorCode::Full, "the disk is full", {}}});
              Persisted Completed{Write.Sequence_};
              Writes_[Index].push_back(std::move(Write));
              handle(Index, Completed);
            },
            [&](ControlRequestAnswered &Answered) {
              Answers_.emplace(Answered.RequestId_, std::move(Answered.Body_));
            },
            [&](EjectedInstancesChanged &) {
              ++Members_[Index].EjectionChangeCount_;
            },
            [&](MemberStopped &Stopped) {
              EXPECT_TRUE(Members_[Index].IsDiskFull_)
                  << Stopped.Reason_.Message_;
              Members_[Index].RestartAt_ = Now_ + RestartDelay;
            },
            [](auto &) {},
        },
        Effect);
}

void RegistryFleet::deliver(std::size_t Index,
                            std::vector<RegistrySubscriptionEffect> Effects) {
  View &Updated = Views_[Index];
  for (RegistrySubscriptionEffect &Effect : Effects)
    std::visit(
        Overloaded{
            [&](SendSubscription &Send) {
              if (BrokenConnections_.erase({gateway(Index), Send.To_}) > 0)
                return handle(Index, RegistrySubscriptionEvent(
                                         MemberConnectionLost{Send.To_}));
              Messages_.push_back(Message{Now_ + MessageLatency, gateway(Index),
                                          Send.To_, std::move(Send.Message_)});
            },
            [&](RoutingChanged &Changed) {
              EXPECT_GT(Changed.Table_->version(), Updated.Version_);
              Updated.Version_ = Changed.Table_->version();
            },
            [&](InstanceChanged &Changed) {
              Updated.Instances_[Changed.Record_.Id_] = Changed.Record_.State_;
            },
            [&](ControlMemberChanged &Changed) {
              Updated.FollowedMember_ = Changed.Member_;
            },
            [&](EjectionsChanged &Changed) {
              Updated.Ejected_[Changed.Service_] = std::move(Changed.Ejected_);
            },
            [&](FingerprintsQuarantined &Changed) {
              Updated.CrashingRequests_ = std::move(Changed);
            },
            [&](TokensGranted &Granted) {
              Updated.Grants_.push_back(std::move(Granted.Grant_));
            },
            [&](RetriesGranted &Granted) {
              for (const RetryCount &Count : Granted.Retries_)
                Updated.RetriesGranted_ += Count.Retries_;
            },
            [](auto &) {},
        },
        Effect);
}

ControlRequestId RegistryFleet::announce(std::size_t Member,
                                         const InstanceRecord &Record) {
  LastRequest_ = LastRequest_.next();
  handle(Member, AnnounceRequest{LastRequest_, Record});
  return LastRequest_;
}

ControlRequestId RegistryFleet::depart(std::size_t Member,
                                       const InstanceId &Instance) {
  LastRequest_ = LastRequest_.next();
  handle(Member, DeregisterRequest{LastRequest_, Instance, std::nullopt});
  return LastRequest_;
}

ControlRequestId RegistryFleet::writeDocument(std::size_t Member,
                                              std::uint64_t Version,
                                              const std::string &Text) {
  LastRequest_ = LastRequest_.next();
  handle(Member,
         DocumentWriteRequest{LastRequest_,
                              StoredDocument{ConfigurationVersion(Version),
                                             std::to_string(Version) + Text}});
  return LastRequest_;
}

ControlRequestId RegistryFleet::readDocument(std::size_t Member) {
  LastRequest_ = LastRequest_.next();
  handle(Member, DocumentReadRequest{LastRequest_});
  return LastRequest_;
}

const ControlReplyBody *RegistryFleet::answer(ControlRequestId Request) const {
  auto Found = Answers_.find(Request);
  return Found == Answers_.end() ? nullptr : &Found->second;
}

std::size_t RegistryFleet::leader() const {
  std::size_t Index = 0;
  while (
      Index < Members_.size() &&
      !(Members_[Index].Running_ && Members_[Index].Running_->log().isLeader()))
    ++Index;
  return Index;
}

std::size_t RegistryFleet::voterCount() const {
  std::size_t Leader = leader();
  return Leader == Members_.size()
             ? 0
             : Members_[Leader].Running_->log().members().Voters_.size();
}

} // namespace jaybridge
