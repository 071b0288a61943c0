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
    Draft.Services_.push_back(ServiceRule{ServiceName(Service), "/health"});
    RouteDraft Route;
    Route.Name_ = RouteName(Host);
    Route.Host_ = HostName(Host);
    Route.Prefix_ = "/";
    Route.Parts_ = {RoutePart{ServiceName(Service)}};
    Draft.Routes_.push_back(std::move(Route));
  }
  return RoutingTable::create(std::move(Draft));
}

MemberId RegistryFleet::member(std::size_t Index) {
  return MemberId("10.0.0." + std::to_string(Index + 1) + ":7000");
}
MemberId RegistryFleet::gateway(std::size_t Index) {
  return MemberId("10.9.0." + std::to_string(Index + 1) + ":7000");
}

FailureDomain RegistryFleet::domain(std::size_t Index) {
  return FailureDomain("d" + std::to_string(Index % Domains));
}

RegistryFleet::RegistryFleet(std::size_t Members, std::size_t Gateways) {
  for (std::size_t Index = 0; Index < Members; ++Index) {
    addMember();
    startMember(Index, true);
  }
  for (std::size_t Index = 0; Index < Gateways; ++Index) {
    FleetSubscriptionSettings Own;
    Own.Domain_ = domain(Index);
    Own.Self_ = Endpoint::create(gateway(Index).text()).takeValue();
    Own.Seeds_ = {member(0), member(1), member(2)};
    Gateways_.push_back(
        std::make_unique<Gateway>(std::move(Own), RandomSeed(Index + 1)));
    Views_.emplace_back();
  }
}

std::size_t RegistryFleet::addMember() {
  Members_.emplace_back();
  Writes_.emplace_back();
  loseFolder(Members_.size() - 1);
  return Members_.size() - 1;
}

void RegistryFleet::loseFolder(std::size_t Index) {
  Members_[Index].Generation_ = FolderGeneration(++Generations_);
  Writes_[Index].clear();
}

RecoveredLog RegistryFleet::recover(Member &Given) {
  LogRecovery Recovery(Given.Generation_);
  for (const PersistLog &Write : Writes_[&Given - Members_.data()])
    Recovery.add(Write);
  return Recovery.take();
}

void RegistryFleet::startMember(std::size_t Index, bool IsFirstStart) {
  ReplicationSettings Replication;
  Replication.Self_ = member(Index);
  Replication.Members_ = {member(0), member(1), member(2)};
  Replication.MayForm_ = IsFirstStart && Index < 3;
  auto Log = ReplicatedLog::create(Replication, recover(Members_[Index]),
                                   RandomSeed(++Generations_), Now_);
  ASSERT_TRUE(Log) << Log.error().Message_;
  ControlSettings Own;
  Own.Self_ = member(Index);
  Own.Domain_ = domain(Index);
  Members_[Index].Running_ =
      std::make_unique<Control>(std::move(Own), Log.takeValue());
}

void RegistryFleet::stopMember(std::size_t Index) {
  Members_[Index].Running_.reset();
}

void RegistryFleet::setCut(const MemberId &Left, const MemberId &Right,
                           bool IsCut) {
  for (const auto &Pair : {std::pair(Left, Right), std::pair(Right, Left)})
    if (IsCut)
      Cuts_.insert(Pair);
    else
      Cuts_.erase(Pair);
}

bool RegistryFleet::isCut(const MemberId &From, const MemberId &To) const {
  return Cuts_.contains({From, To});
}

void RegistryFleet::run(Duration Span) {
  const TimePoint End = Now_ + Span;
  while (Now_ < End) {
    Now_ += Step;
    while (!Messages_.empty() && Messages_.front().At_ <= Now_) {
      Message Arrived = std::move(Messages_.front());
      Messages_.pop_front();
      receive(Arrived);
    }
    for (std::size_t Index = 0; Index < Members_.size(); ++Index)
      if (Members_[Index].Running_) {
        std::vector<ControlEffect> Effects;
        Members_[Index].Running_->advance(Now_, Effects);
        deliver(Index, std::move(Effects));
      }
    for (std::size_t Index = 0; Index < Gateways_.size(); ++Index) {
      std::vector<FleetSubscriptionEffect> Effects;
      Gateways_[Index]->advance(Now_, Effects);
      deliver(Index, std::move(Effects));
    }
  }
}

void RegistryFleet::formWith(const InstanceRecord &Instance) {
  while (leader() == Members_.size())
    run(Step);
  announce(leader(), Instance);
}

void RegistryFleet::receive(const Message &Arrived) {
  if (isCut(Arrived.From_, Arrived.To_))
    return;
  for (std::size_t Index = 0; Index < Members_.size(); ++Index) {
    if (member(Index) != Arrived.To_ || !Members_[Index].Running_)
      continue;
    if (const auto *Body = std::get_if<ReplicationMessage>(&Arrived.Body_))
      handle(Index, ControlEvent(*Body));
    else
      handle(Index,
             ControlEvent(SubscriptionReceived{
                 Arrived.From_, std::get<SubscriptionMessage>(Arrived.Body_)}));
  }
  for (std::size_t Index = 0; Index < Gateways_.size(); ++Index) {
    if (gateway(Index) != Arrived.To_)
      continue;
    handle(Index,
           FleetSubscriptionEvent(SubscriptionReceived{
               Arrived.From_, std::get<SubscriptionMessage>(Arrived.Body_)}));
  }
}

void RegistryFleet::handle(std::size_t Index,
                           const FleetSubscriptionEvent &Event) {
  std::vector<FleetSubscriptionEffect> Effects;
  Gateways_[Index]->handle(Event, Now_, Effects);
  deliver(Index, std::move(Effects));
}

void RegistryFleet::observe(std::size_t Gateway, const ObserveAttempt &Seen) {
  handle(Gateway, FleetSubscriptionEvent(Seen));
}

void RegistryFleet::spendRetry(std::size_t Gateway,
                               const ServiceName &Service) {
  handle(Gateway, FleetSubscriptionEvent(RetrySpent{Service}));
}

void RegistryFleet::handle(std::size_t Index, const ControlEvent &Event) {
  std::vector<ControlEffect> Effects;
  Members_[Index].Running_->handle(Event, Now_, Effects);
  deliver(Index, std::move(Effects));
}

void RegistryFleet::deliver(std::size_t Index,
                            std::vector<ControlEffect> Effects) {
  for (ControlEffect &Each : Effects)
    std::visit(
        Overloaded{
            [&](SendReplication &Send) {
              Messages_.push_back(Message{Now_ + Delay, member(Index), Send.To_,
                                          std::move(Send.Message_)});
            },
            [&](SendSubscription &Send) {
              // Through the codec, so that its losses would show.
              auto Decoded = decodeSubscriptionMessage(
                  encodeSubscriptionMessage(Send.Message_));
              ASSERT_TRUE(Decoded);
              Messages_.push_back(Message{Now_ + Delay, member(Index), Send.To_,
                                          Decoded.takeValue()});
            },
            [&](TellSubscribers &Told) {
              auto Decoded = decodeSubscriptionMessage(
                  encodeSubscriptionMessage(Told.Message_));
              ASSERT_TRUE(Decoded);
              for (const MemberId &To : Told.To_)
                Messages_.push_back(
                    Message{Now_ + Delay, member(Index), To, Decoded.value()});
            },
            [&](PersistLog &Write) {
              Persisted Done{Write.Sequence_};
              Writes_[Index].push_back(std::move(Write));
              handle(Index, Done);
            },
            [&](ControlAnswered &Answered) {
              Answers_.emplace(Answered.Query_, std::move(Answered.Body_));
            },
            [&](MemberStopped &Stopped) {
              ADD_FAILURE() << Stopped.Reason_.Message_;
            },
            [](auto &) {},
        },
        Each);
}

void RegistryFleet::deliver(std::size_t Index,
                            std::vector<FleetSubscriptionEffect> Effects) {
  View &Seen = Views_[Index];
  for (FleetSubscriptionEffect &Each : Effects)
    std::visit(
        Overloaded{
            [&](SendSubscription &Send) {
              Messages_.push_back(Message{Now_ + Delay, gateway(Index),
                                          Send.To_, std::move(Send.Message_)});
            },
            [&](RoutingChanged &Changed) {
              EXPECT_GT(Changed.Table_->version(), Seen.Version_);
              Seen.Version_ = Changed.Table_->version();
            },
            [&](InstanceChanged &Changed) {
              Seen.Instances_[Changed.Record_.Id_] = Changed.Record_.State_;
            },
            [&](ContactChanged &Changed) { Seen.Contact_ = Changed.Member_; },
            [&](RetriesGranted &Granted) {
              for (const RetryCount &Counted : Granted.Retries_)
                Seen.RetriesGranted_ += Counted.Retries_;
            },
            [](auto &) {},
        },
        Each);
}

ControlQuery RegistryFleet::announce(std::size_t Member,
                                     const InstanceRecord &Record) {
  LastQuery_ = LastQuery_.next();
  handle(Member, InstanceAnnouncedItself{LastQuery_, Record});
  return LastQuery_;
}

ControlQuery RegistryFleet::offer(std::size_t Member, std::uint64_t Version,
                                  const std::string &Text) {
  LastQuery_ = LastQuery_.next();
  handle(Member,
         DocumentOffered{LastQuery_,
                         StoredDocument{ConfigurationVersion(Version),
                                        std::to_string(Version) + Text}});
  return LastQuery_;
}

ControlQuery RegistryFleet::ask(std::size_t Member) {
  LastQuery_ = LastQuery_.next();
  handle(Member, DocumentAsked{LastQuery_});
  return LastQuery_;
}

const ControlReplyBody *RegistryFleet::answerOf(ControlQuery Query) const {
  auto Found = Answers_.find(Query);
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
