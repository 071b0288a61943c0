#include <Daemon.h>

#include <AnnouncementReader.h>
#include <ControlResponses.h>

namespace jaybridge {

void Daemon::deliver(FleetEffect Effect) {
  std::visit(
      Overloaded{
          [this](SendToMember<MembershipMessage> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](SendToEndpoint &Send) {
            if (!Peers_.send(Send.To_, Send.Message_))
              MessagesUnsent_.add();
          },
          [this](SendToMember<DirectoryMessage> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](SendToMember<SpreadMessage> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](MemberChanged &Changed) { apply(Changed); },
          [this](LeaveFinished &) { Left_.set_value(); },
          [this](InstanceUpdated &Updated) {
            Requests_->post(InstanceChanged{Updated.Record_});
            post(*Authority_, std::move(Updated));
          },
          [this](AnnouncementAnswered &Answered) { answer(Answered); },
          // FIXME: The gateway must learn of it and verify instances itself, so
          // that a cut-off gateway sends nothing new to one that is leaving.
          [this](ConfirmationChanged &Changed) {
            Log_.writeStateChange(LogLevel::Info, "directory",
                                  Changed.IsConfirmed_ ? "confirmed"
                                                       : "unconfirmed");
          },
          [this](LoadLearned &Learned) {
            Requests_->post(LoadReported{Learned.Hint_.Instance_,
                                         Learned.Hint_.Service_,
                                         Learned.Hint_.Busy_});
          },
          [this](CatalogInForce &Catalog) { apply(Catalog); },
          [this](HomesChanged &Changed) {
            Requests_->post(std::move(Changed));
          },
          [this](StatusFound &Found) { Api_.answer(Found); },
      },
      Effect);
}

void Daemon::apply(const MemberChanged &Changed) {
  const MemberRecord &Record = Changed.Record_;
  post(*Authority_, Changed);
  if (isLive(Record.State_)) {
    Peers_.setAddress(Record.Id_, Record.Address_);
    Forwards_.setAddress(Record.Id_, Record.Address_);
    return;
  }
  if (Record.State_ == MemberState::Left)
    Peers_.forget(Record.Id_);
  loseForwards(Forwards_.takeAll(Record.Id_));
  Log_.write(LogLevel::Info,
             Record.State_ == MemberState::Left ? "member-left" : "member-dead",
             {{"member", Record.Id_.text()}});
}

void Daemon::apply(const CatalogInForce &Catalog) {
  Version_ = Catalog.Version_.value();
  VersionInForce_.set(
      GaugeValue(static_cast<double>(Catalog.Version_.value())));
  Requests_->post(CatalogChanged{Catalog.Version_, Catalog.Policies_});
  post(*Authority_, Catalog);
  Log_.writeStateChange(LogLevel::Info, "configuration",
                        std::to_string(Catalog.Version_.value()));
}

void Daemon::announce(const ControlRequest &Asked, const ControlReply &Reply) {
  auto Read = readAnnouncement(Asked.Body_);
  if (!Read) {
    AnnouncementsRefused_.add();
    Reply(problemResponse(Read.error()));
    return;
  }
  const InstanceRecord &Record = Read.value().Record_;
  if (Read.value().Busy_)
    post(*Fleet_,
         LoadAnnounced{{Record.Id_, Record.Service_, *Read.value().Busy_}});
  {
    std::lock_guard Lock(AnnouncementMutex_);
    WaitingAnnouncements_.emplace(Record.Id_, Reply);
  }
  if (!post(*Fleet_, InstanceAnnounced{Record}))
    answer(AnnouncementAnswered{Record.Id_, false, {}, Record.State_});
}

void Daemon::answer(const AnnouncementAnswered &Answered) {
  ControlReply Reply;
  {
    std::lock_guard Lock(AnnouncementMutex_);
    auto Found = WaitingAnnouncements_.find(Answered.Id_);
    if (Found == WaitingAnnouncements_.end())
      return;
    Reply = std::move(Found->second);
    WaitingAnnouncements_.erase(Found);
  }
  Reply(announcementResponse(Answered));
}

} // namespace jaybridge
