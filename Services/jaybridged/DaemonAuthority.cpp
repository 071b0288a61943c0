#include <Daemon.h>

namespace jaybridge {

void Daemon::deliver(AuthorityEffect Effect) {
  std::visit(
      Overloaded{
          [this](SendToMember<EvidenceReport> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](SendToMember<EjectionAnswer> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](SendToMember<LeaseMessage> &Send) {
            send(Send.To_, Send.Message_);
          },
          [this](EjectionsApplied &Applied) {
            Requests_->post(EjectionsChanged{Applied.Service_, Applied.Ejected_,
                                             Applied.ValidUntil_});
            post(*Fleet_, std::move(Applied));
          },
          [this](QuarantineApplied &Applied) {
            Requests_->post(FingerprintsQuarantined{Applied.Fingerprints_});
          },
          [this](ProbeRequest &Asked) { Probes_->probe(Asked); },
          [this](AuditEntry &Entry) { record(std::move(Entry)); },
      },
      Effect);
}

// FIXME: Send entries to the control members and write them to files there;
// so far each daemon keeps its own in memory.
void Daemon::record(AuditEntry Entry) {
  Log_.write(LogLevel::Info, auditKindName(Entry.Kind_),
             {{"actor", Entry.Actor_},
              {"service", Entry.Service_.text()},
              {"outcome", Entry.Outcome_},
              {"detail", Entry.Detail_}});
  post(History_, std::move(Entry));
}

} // namespace jaybridge
