#include <Daemon.h>

namespace jaybridge {

void Daemon::startConfiguration() {
  if (Storage_)
    Storage_->start([this](ReplicationEvent Ended) {
      // The log would wait for a lost outcome without end, and never waits for
      // this thread itself.
      if (auto *Synced = std::get_if<Persisted>(&Ended))
        (void)Configuration_.ring().push(*Synced);
      else if (auto *Failed = std::get_if<PersistFailed>(&Ended))
        (void)Configuration_.ring().push(std::move(*Failed));
    });
  Configuration_.start(
      [this](ConfigurationEffect Effect) -> std::optional<ConfigurationEvent> {
        if (auto *Write = std::get_if<PersistLog>(&Effect))
          return persist(*Write);
        deliver(std::move(Effect));
        return std::nullopt;
      });
}

std::optional<ConfigurationEvent> Daemon::persist(PersistLog &Write) {
  if (Storage_->write(std::move(Write)))
    return std::nullopt;
  RingsFull_.add();
  return PersistFailed{
      Error{ErrorCode::Full, "the storage thread does not keep up", {}}};
}

void Daemon::deliver(ConfigurationEffect Effect) {
  std::visit(
      Overloaded{
          [this](SendToMember<ConfigurationMessage> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](SendReplication &Send) { send(Send.To_, Send.Message_); },
          [](PersistLog &) {},
          [this](ChangeAnswered &Answered) { Api_.answer(Answered); },
          [this](CatalogAnswered &Answered) { Api_.answer(Answered); },
          [this](ChangeCommitted &Committed) {
            post(*Fleet_, std::move(Committed));
          },
          [this](CatalogInstalled &Installed) {
            post(*Fleet_, std::move(Installed));
          },
          [this](LeadershipChanged &Changed) {
            Log_.writeStateChange(LogLevel::Info, "control-leader",
                                  Changed.Leader_ ? Changed.Leader_->text()
                                                  : "none");
          },
          [this](AuditEntry &Entry) { record(std::move(Entry)); },
          [this](MemberStopped &Stopped) {
            Log_.write(LogLevel::Error, "control-member-stopped",
                       {{"reason", Stopped.Reason_.Message_}});
          },
      },
      Effect);
}

} // namespace jaybridge
