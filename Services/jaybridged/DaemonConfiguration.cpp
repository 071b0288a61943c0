#include <Daemon.h>

namespace jaybridge {

void Daemon::startConfiguration() {
  if (Storage_)
    Storage_->start([this](ReplicationEvent Event) {
      // Blocks while the ring is full: the log would wait forever for a lost
      // result. This cannot deadlock, because the role never waits for the
      // storage thread.
      if (auto *Synced = std::get_if<Persisted>(&Event))
        (void)Configuration_.ring().push(*Synced);
      else if (auto *Failed = std::get_if<PersistFailed>(&Event))
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
      Error{ErrorCode::Full, "the queue of the storage thread is full", {}}};
}

void Daemon::deliver(ConfigurationEffect Effect) {
  std::visit(
      Overloaded{
          [this](SendToMember<ConfigurationMessage> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](SendReplication &Send) { send(Send.To_, Send.Message_); },
          [](PersistLog &) {},
          [this](OperatorChangeResponse &Response) { Api_.answer(Response); },
          [this](OperatorCatalogResponse &Response) { Api_.answer(Response); },
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
          [this](AuditEntry &Entry) { recordAudit(std::move(Entry)); },
          [this](MemberStopped &Stopped) {
            Log_.write(LogLevel::Error, "control-member-stopped",
                       {{"reason", Stopped.Reason_.Message_}});
          },
      },
      Effect);
}

} // namespace jaybridge
