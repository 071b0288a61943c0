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
          [this](SendToMember<DistributionMessage> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](MemberChanged &Changed) { apply(Changed); },
          [this](LeaveFinished &) { LeaveDone_.set_value(); },
          [this](InstanceUpdated &Updated) {
            RequestPath_->post(InstanceChanged{Updated.Record_});
            post(*Authority_, std::move(Updated));
          },
          [this](AnnouncementAnswered &Answered) {
            answerAnnouncement(Answered);
          },
          // FIXME: Tell the gateway when its directory is unconfirmed, and let
          // it verify instances itself, so that an isolated gateway sends no
          // new requests to an instance that is leaving.
          [this](ConfirmationChanged &Changed) {
            Log_.writeStateChange(LogLevel::Info, "directory",
                                  Changed.IsConfirmed_ ? "confirmed"
                                                       : "unconfirmed");
          },
          [this](LoadReportReceived &Received) {
            RequestPath_->post(LoadReported{Received.Report_.Instance_,
                                            Received.Report_.Service_,
                                            Received.Report_.Busy_});
          },
          [this](CatalogApplied &Catalog) { apply(Catalog); },
          [this](HomesChanged &Changed) {
            RequestPath_->post(std::move(Changed));
          },
          [this](OperatorStatusResponse &Response) { Api_.answer(Response); },
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
  failForwards(Forwards_.takeAll(Record.Id_));
  Log_.write(LogLevel::Info,
             Record.State_ == MemberState::Left ? "member-left" : "member-dead",
             {{"member", Record.Id_.text()}});
}

void Daemon::apply(const CatalogApplied &Catalog) {
  AppliedVersion_ = Catalog.Version_.value();
  AppliedVersionGauge_.set(
      GaugeValue(static_cast<double>(Catalog.Version_.value())));
  RequestPath_->post(CatalogChanged{Catalog.Version_, Catalog.Policies_});
  post(*Authority_, Catalog);
  Log_.writeStateChange(LogLevel::Info, "configuration",
                        std::to_string(Catalog.Version_.value()));
}

void Daemon::handleAnnouncement(const ControlRequest &HttpRequest,
                                const ControlReply &Reply) {
  auto Parsed = readAnnouncement(HttpRequest.Body_);
  if (!Parsed) {
    AnnouncementsRefused_.add();
    Reply(problemResponse(Parsed.error()));
    return;
  }
  const InstanceRecord &Record = Parsed.value().Record_;
  if (Parsed.value().BusySlots_)
    post(*Fleet_, InstanceLoadReported{{Record.Id_, Record.Service_,
                                        *Parsed.value().BusySlots_}});
  {
    std::lock_guard Lock(PendingAnnouncementsMutex_);
    PendingAnnouncements_.emplace(Record.Id_, Reply);
  }
  if (!post(*Fleet_, InstanceAnnounced{Record}))
    answerAnnouncement(
        AnnouncementAnswered{Record.Id_, false, {}, Record.State_});
}

void Daemon::answerAnnouncement(const AnnouncementAnswered &Answered) {
  ControlReply Reply;
  {
    std::lock_guard Lock(PendingAnnouncementsMutex_);
    auto Found = PendingAnnouncements_.find(Answered.Id_);
    if (Found == PendingAnnouncements_.end())
      return;
    Reply = std::move(Found->second);
    PendingAnnouncements_.erase(Found);
  }
  Reply(announcementResponse(Answered));
}

} // namespace jaybridge
